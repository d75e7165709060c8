"""Staff's policies over the platform's settings: what they may not say, and the settings that come of them.

The platform's word on what may run again, how long a client waits, how long a drained upstream may be sent to and how
much a cold one bears is what the four rules rest on. A policy may be stricter than that, never looser.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import replace
from typing import NamedTuple

from larkweir_balancing.interface import Effect, RequestClass, Settings, Tenant, Tuning

from larkweir.config.options import ClassPolicy, Operator
from larkweir.config.platform import Config

STRICTNESS = {"freely": 0, "by_key": 1, "never": 2}
EFFECTS = {Effect.SAFE: "freely", Effect.KEYED: "by_key", Effect.UNSAFE: "never"}
MOST_PACE = 1.0  # of a warm upstream's work for each part of a cold one's capacity, whatever staff say


class Objection(NamedTuple):
    """Why a policy can't stand beside the platform's settings."""

    key: str  # table.key
    code: str
    text: str
    mend: str
    grave: bool = True  # False: it can stand, and is surely not meant
    # Of routes and pools, all that it rests on, as (table, row, field), field "" for whether the row is there: the same
    # of these gives the same, whatever the others say.
    rests: tuple[tuple[str, str, str], ...] = ()
    platform: bool = False  # another platform's file might bear it


def policy_of(name: str, options: Operator) -> ClassPolicy:
    """A class's own policy, and what it leaves open from that for all."""
    own, all_ = options.classes.get(name), options.classes.get("*")
    if own is None or all_ is None:
        return own or all_ or ClassPolicy()
    return ClassPolicy(
        **{key: value if value is not None else getattr(all_, key) for key, value in vars(own).items()}
    )


def objections(settings: Settings, grace_ms: float, options: Operator) -> Iterator[Objection]:
    """What the policies may not say beside these settings, and what they say in vain."""
    yield from _classes(settings, options)
    yield from _tenants(settings, options)
    grace = options.drain.grace_ms
    if grace is not None and grace > grace_ms:
        yield Objection(
            "drain.grace_ms",
            "LW603",
            f"{grace:g} ms is longer than the platform's grace, {grace_ms:g} ms: new work would go to a drained"
            " upstream past it (rule 3)",
            f"write {grace_ms:g}ms or less",
        )
    most, longest = options.advice.most_ms, max(cls.deadline_ms for cls in settings.classes)
    if most is not None and most > settings.max_retry_after_ms:
        yield Objection(
            "advice.most_ms",
            "LW605",
            f"{most:g} ms is later than the platform lets anyone be told, {settings.max_retry_after_ms:g} ms",
            f"write {settings.max_retry_after_ms:g}ms or less"
            if settings.max_retry_after_ms
            else "leave it out",
        )
    elif most is not None and most > 60.0 * longest:
        yield Objection(
            "advice.most_ms",
            "LW703",
            f"{most:g} ms is over sixty times the longest deadline, {longest:g} ms: nobody comes back for that",
            "write a time of that order",
            grave=False,
        )
    pace = options.cold.pace * settings.fall_multiple
    if pace > MOST_PACE:
        yield Objection(
            "cold.pace",
            "LW604",
            f"{options.cold.pace:g} of what pushes a cold upstream over, {settings.fall_multiple:g} times its work,"
            f" is {pace:.2f} times what it can do (rule 4)",
            f"write {100.0 * MOST_PACE / settings.fall_multiple:.0f}% or less",
        )


def _classes(settings: Settings, options: Operator) -> Iterator[Objection]:
    known = {cls.name: cls for cls in settings.classes}
    for name, policy in options.classes.items():
        key = f"class.{name}"
        if name != "*" and name not in known:
            yield Objection(
                key, "LW501", f"the platform has no class {name!r}", f"there are {', '.join(sorted(known))}"
            )
            continue
        held = list(known.values()) if name == "*" else [known[name]]
        for cls in held:
            yield from _class(key, cls, policy, settings)
    others = options.classes.get("*")
    if others is not None:
        for item in ("attempts", "worth", "aim_ms", "deadline_ms", "repeats"):
            wanted = getattr(others, item) is not None
            if wanted and all(
                name in options.classes and getattr(options.classes[name], item) is not None for name in known
            ):
                yield Objection(
                    f"class.*.{item}",
                    "LW702",
                    "no class is left that this counts for: each has its own",
                    "leave it out",
                    grave=False,
                )


def _class(key: str, cls: RequestClass, policy: ClassPolicy, settings: Settings) -> Iterator[Objection]:
    if policy.repeats is not None and STRICTNESS[policy.repeats] < STRICTNESS[EFFECTS[cls.effect]]:
        why = {
            Effect.UNSAFE: "must never run twice",
            Effect.KEYED: "may be repeated only where its key is remembered",
        }[cls.effect]
        yield Objection(
            f"{key}.repeats",
            "LW602",
            f"{cls.name} {why}, says the platform; {policy.repeats} would let it take effect twice (rule 2)",
            f"write {EFFECTS[cls.effect]}, or leave it out",
        )
    if policy.repeats == "by_key" and cls.effect is Effect.SAFE:
        yield Objection(
            f"{key}.repeats",
            "LW606",
            f"{cls.name} carries no key that its upstreams would drop repeats by",
            "write freely or never",
        )
    if policy.deadline_ms is not None and policy.deadline_ms > cls.deadline_ms:
        yield Objection(
            f"{key}.deadline_ms",
            "LW601",
            f"{policy.deadline_ms:g} ms is later than {cls.name}'s client gives up, {cls.deadline_ms:g} ms: it would"
            " have no answer in time (rule 1)",
            f"write {cls.deadline_ms:g}ms or less",
        )
    aim = policy.aim_ms if policy.aim_ms is not None else cls.aim_ms
    deadline = min(policy.deadline_ms or cls.deadline_ms, cls.deadline_ms)
    if policy.aim_ms is not None and policy.aim_ms > deadline:
        yield Objection(
            f"{key}.aim_ms",
            "LW607",
            f"{aim:g} ms is later than {cls.name}'s deadline, {deadline:g} ms",
            f"write {deadline:g}ms or less",
        )
    elif policy.aim_ms is not None and policy.aim_ms > cls.aim_ms:
        yield Objection(
            f"{key}.aim_ms",
            "LW704",
            f"{aim:g} ms is later than the platform's aim for {cls.name}, {cls.aim_ms:g} ms, from which an answer is"
            " worth nothing",
            f"write {cls.aim_ms:g}ms or less",
            grave=False,
        )
    elif policy.deadline_ms is not None and policy.aim_ms is None and policy.deadline_ms < cls.aim_ms:
        yield Objection(
            f"{key}.deadline_ms",
            "LW705",
            f"{policy.deadline_ms:g} ms is sooner than {cls.name}'s aim, {cls.aim_ms:g} ms: answers that are still"
            " worth something are given up",
            "say aim too, or a later deadline",
            grave=False,
        )
    if policy.attempts is not None and policy.attempts > settings.max_attempts:
        yield Objection(
            f"{key}.attempts",
            "LW608",
            f"{policy.attempts} is more than the platform allows any request, {settings.max_attempts}",
            f"write {settings.max_attempts} or less",
        )


def _tenants(settings: Settings, options: Operator) -> Iterator[Objection]:
    known = {tenant.name for tenant in settings.tenants}
    for name in options.tenants:
        if name not in known:
            names = ", ".join(sorted(known)) or "none"
            yield Objection(
                f"tenant.{name}", "LW502", f"the platform has no tenant {name!r}", f"there are {names}"
            )
    whole = sum(policy.share or 0.0 for policy in options.tenants.values())
    said_all = known and all(
        name in options.tenants and options.tenants[name].share is not None for name in known
    )
    if said_all and whole < 0.999:
        last = list(options.tenants)[-1]
        yield Objection(
            f"tenant.{last}.share",
            "LW706",
            f"the shares of all tenants come to {whole:.1%}: the rest is nobody's",
            "let them come to 100%",
            grave=False,
        )


def overlaid(settings: Settings, options: Operator) -> Settings:
    """The settings with the policies in force. To be asked of policies that nothing objects to."""
    if not options.governs:
        return settings
    classes = tuple(_class_overlaid(cls, policy_of(cls.name, options)) for cls in settings.classes)
    most = options.advice.most_ms
    return replace(
        settings,
        classes=classes,
        tenants=_tenants_overlaid(settings.tenants, options),
        max_retry_after_ms=settings.max_retry_after_ms
        if most is None
        else min(most, settings.max_retry_after_ms),
        tuning=Tuning(
            retry_ratio=options.retries.ratio,
            retry_cap=options.retries.burst,
            eject_odds=options.ejection.odds,
            eject_most=options.ejection.most,
            slow=options.ejection.slow,
            queue_patience=options.queue.patience,
            queue_standing=options.queue.standing,
            cold_pace=options.cold.pace,
        ),
    )


def _class_overlaid(cls: RequestClass, policy: ClassPolicy) -> RequestClass:
    deadline = cls.deadline_ms if policy.deadline_ms is None else min(policy.deadline_ms, cls.deadline_ms)
    aim = cls.aim_ms if policy.aim_ms is None else policy.aim_ms
    effect = Effect.UNSAFE if policy.repeats == "never" else cls.effect
    return replace(
        cls,
        aim_ms=min(aim, deadline),
        deadline_ms=deadline,
        worth=cls.worth if policy.worth is None else policy.worth,
        attempts=cls.attempts if policy.attempts is None else policy.attempts,
        effect=effect,
    )


def _tenants_overlaid(tenants: Sequence[Tenant], options: Operator) -> tuple[Tenant, ...]:
    """Shares that are told count of the whole; the others divide the rest as they did."""
    told = {name: policy.share for name, policy in options.tenants.items() if policy.share is not None}
    if not told or not tenants:
        return tuple(tenants)
    whole = sum(tenant.quota_per_s for tenant in tenants)
    others = sum(tenant.quota_per_s for tenant in tenants if tenant.name not in told)
    left = max(0.0, 1.0 - sum(told.get(tenant.name, 0.0) for tenant in tenants)) * whole
    return tuple(
        replace(
            tenant,
            quota_per_s=told[tenant.name] * whole
            if tenant.name in told
            else (left * tenant.quota_per_s / others if others else 0.0),
        )
        for tenant in tenants
    )


def in_force(config: Config, options: Operator) -> Config:
    """The platform's file with the policies in force."""
    grace = config.drain_grace_ms
    if options.drain.grace_ms is not None:
        grace = min(grace, options.drain.grace_ms)
    return replace(config, settings=overlaid(config.settings, options), drain_grace_ms=grace)
