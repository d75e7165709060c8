"""The duty "probers": who has the turn, what travels, and whole fleets with the real decisions on a seeded network."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Mapping

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from larkweir_balancing import Balancer
from larkweir_balancing.interface import (
    Effect,
    ListKind,
    ListUpdate,
    Outcome,
    PeerHealthReport,
    RequestClass,
    ServerEntry,
    ServerState,
    Settings,
)
from larkweir_balancing.shared_health import (
    MAX_EJECTION_HINT_MS,
    RECHECK_INTERVAL_MS,
    REPORT_LIFETIME_MS,
    RESTORE_SPREAD_MS,
)

from larkweir.config.options import Owners
from larkweir.coordination.duties.messages import (
    MAX_ROWS,
    Sighting,
    SightingReport,
    decode_report,
    encode_report,
)
from larkweir.coordination.duties.ports import LocalSighting
from larkweir.coordination.duties.probers import (
    CLOSE_AFTER_MS,
    FAILING,
    KEY_BYTES,
    MAX_BAD_FINDINGS,
    MAX_CANDIDATES,
    MAX_SERVERS,
    MAX_TRACKED_SERVERS,
    NOTHING,
    PROBED,
    PROBER_TIMEOUT_MS,
    PROBERS_BY_CALL,
    SERVED,
    Probers,
    ServerRow,
    State,
    decode_state,
    key_of,
    prober_rank,
    tag_of,
)
from larkweir.coordination.duties.replicated import encode_state
from larkweir.coordination.duties.timing import HEARTBEAT_INTERVAL_MS, OWNER_TIMEOUT_MS, REFRESH_MS
from larkweir.coordination.health_sharing import SharedHealthAdapter
from standins.probing import Copier, Server, World

KEY_A = key_of("10.9.1.1:8080")
MOST_STATE = 6 * 1024


class Field:
    """`HealthSharing` by hand."""

    def __init__(self) -> None:
        self.sees: dict[bytes, LocalSighting] = {}
        self.heard: list[tuple[bytes, int, float, bool]] = []

    def sightings(self, now_ms: float) -> Mapping[bytes, LocalSighting]:
        return self.sees

    def on_finding(self, key: bytes, finding: int, age_ms: float, is_prober: bool) -> None:
        self.heard.append((key, finding, age_ms, is_prober))


class Desk:
    """One owner, whose states count at once, and copies that are words alone."""

    def __init__(self, probes: bool = True) -> None:
        self.field = Field()
        self.work = Probers(1, "owner", self.field, lambda: probes)
        self.now, self.state, self.version = 0.0, b"", (1, 0)
        self.numbers: dict[str, int] = {}
        self.work.on_committed(self.state, self.version)

    def say(self, copy: str, *rows: Sighting) -> None:
        self.numbers[copy] = self.numbers.get(copy, 0) + 1
        report = decode_report(encode_report(SightingReport(1, self.numbers[copy], rows)))
        assert report is not None
        self.work.on_report(copy, report, self.now)

    def out(self, *copies: str, key: bytes = KEY_A, found: int = NOTHING) -> None:
        for copy in copies:
            self.say(copy, Sighting(key, True, found, 0))

    def run(self, ms: float = 1_600.0) -> dict[bytes, ServerRow]:
        until = self.now + ms
        while self.now < until:
            self.now += 50.0
            state = self.work.step(self.state, self.now)
            if state is not None:
                assert len(state) <= MOST_STATE
                self.state, self.version = state, (self.version[0], self.version[1] + 1)
                self.work.on_committed(state, self.version)
        return {row.key: row for row in decode_state(self.state).rows}

    def turn(self, key: bytes = KEY_A) -> tuple[bytes, ...]:
        return self.run()[key].probers


def by_rank(key: bytes, *copies: str) -> list[str]:
    return sorted(copies, key=lambda copy: prober_rank(key, copy))


# ------------------------------------------------ the owner


def test_a_server_is_the_fleets_matter_once_two_copies_have_left_it_out() -> None:
    desk = Desk()
    desk.out("one")
    assert desk.run() == {} and desk.state == b""
    desk.out("other")
    assert desk.turn() == (tag_of(by_rank(KEY_A, "one", "other")[0]),)


def test_the_turn_goes_by_rendezvous_and_on_after_some_bad_findings() -> None:
    desk = Desk()
    names = by_rank(KEY_A, "one", "two", "three")
    desk.out(*names)
    for name in (*names, names[0]):
        assert desk.turn() == (tag_of(name),)
        for _ in range(MAX_BAD_FINDINGS):
            desk.now += 1.0
            desk.out(name, found=FAILING)
            desk.out(*names)  # they are there
    assert desk.run()[KEY_A].finding == FAILING


def test_a_prober_that_dies_loses_the_turn() -> None:
    desk = Desk()
    names = by_rank(KEY_A, "one", "two", "three")
    desk.out(*names)
    assert desk.turn() == (tag_of(names[0]),)
    for _ in range(int(PROBER_TIMEOUT_MS / 500.0) + 2):
        desk.out(*names[1:])
        desk.run(500.0)
    assert desk.turn() == (tag_of(names[1]),)


def test_without_probes_two_have_the_turn() -> None:
    desk = Desk(probes=False)
    names = by_rank(KEY_A, *"abcdefghijkl")
    desk.out(*names)
    assert desk.turn() == tuple(map(tag_of, names[:PROBERS_BY_CALL]))


def test_a_good_finding_is_told_at_once_and_lets_go_of_the_server() -> None:
    desk = Desk()
    names = by_rank(KEY_A, "one", "two")
    desk.out(*names)
    assert desk.turn() == (tag_of(names[0]),)
    desk.say(names[0], Sighting(KEY_A, True, PROBED, 0))
    row = desk.run(600.0)[KEY_A]
    assert row.finding == PROBED and row.age_ms <= 600
    assert desk.run(CLOSE_AFTER_MS + 500.0) == {}


def test_of_others_only_calls_tell() -> None:
    """What a copy found before the turn was given is no finding; a call that a probe's word misled is one."""
    desk = Desk()
    prober, other = by_rank(KEY_A, "one", "two")
    desk.out(prober, other)
    desk.run()
    for found, then in ((FAILING, NOTHING), (PROBED, NOTHING), (SERVED, SERVED)):
        desk.now += 1.0
        desk.say(other, Sighting(KEY_A, True, found, 0))
        desk.out(prober)
        assert desk.run()[KEY_A].finding == then
    desk.say(prober, Sighting(KEY_A, True, PROBED, 0))
    assert desk.run()[KEY_A].finding == PROBED
    desk.say(other, Sighting(KEY_A, True, FAILING, 0))
    assert desk.run()[KEY_A].finding == FAILING


def test_an_older_finding_and_an_older_report_change_nothing() -> None:
    desk = Desk()
    prober, other = by_rank(KEY_A, "one", "two")
    desk.out(prober, other)
    desk.run()
    desk.say(prober, Sighting(KEY_A, True, FAILING, 0))
    desk.say(prober, Sighting(KEY_A, True, PROBED, 500))
    assert desk.run()[KEY_A].finding == FAILING
    desk.work.on_report(prober, SightingReport(1, 1, (Sighting(KEY_A, False, SERVED, 0),)), desk.now)  # late
    assert desk.run()[KEY_A].finding == FAILING


def test_a_new_owner_goes_on_from_what_is_held() -> None:
    desk, heir = Desk(), Desk()
    prober, other = by_rank(KEY_A, "one", "two")
    desk.out(prober, other)
    desk.run()
    desk.say(prober, Sighting(KEY_A, True, FAILING, 0))
    desk.run()
    heir.state, heir.version = desk.state, (2, 0)
    heir.work.on_committed(heir.state, heir.version)
    heir.work.tick(heir.now)
    heir.now += 900.0
    held = heir.run(100.0)[KEY_A]
    before = decode_state(desk.state).rows[0].age_ms
    assert held.finding == FAILING and before + 900 <= held.age_ms <= before + 1_000 and held.probers == ()
    heir.out(prober, other)
    assert heir.turn() == (tag_of(prober),)
    heir.run(REFRESH_MS + 2 * PROBER_TIMEOUT_MS)
    assert heir.run() == {}  # nobody tells of it any more


@settings(max_examples=20, deadline=None)
@given(st.data())
def test_whatever_is_reported_turns_are_of_copies_that_left_the_server_out_and_all_is_bounded(
    data: st.DataObject,
) -> None:
    desk = Desk(probes=data.draw(st.booleans()))
    many = data.draw(st.sampled_from((3, 150)))
    keys = [key_of(str(n)) for n in range(many)]
    copies = [f"copy{n}" for n in range(data.draw(st.integers(1, 12)))]
    out: dict[bytes, set[str]] = {key: set() for key in keys}
    for _ in range(data.draw(st.integers(3, 30))):
        copy = data.draw(st.sampled_from(copies))
        first = data.draw(st.integers(0, many - 1))
        rows = []
        for key in (keys + keys)[first : first + MAX_ROWS][:many]:
            left = data.draw(st.booleans())
            (out[key].add if left else out[key].discard)(copy)
            rows.append(
                Sighting(key, left, data.draw(st.integers(NOTHING, SERVED)), data.draw(st.integers(0, 9_000)))
            )
        desk.say(copy, *rows)
        found = desk.run(data.draw(st.sampled_from((50.0, 600.0, 3_000.0))))
        assert len(found) <= MAX_SERVERS
    found = desk.run(1_600.0)
    for key, row in found.items():
        assert set(row.probers) <= {tag_of(copy) for copy in out[key]}
        assert len(row.probers) <= (PROBERS_BY_CALL if not desk.work._probes() else 1)


def test_words_that_make_no_sense_are_counted_and_dropped() -> None:
    desk = Desk()
    desk.say(
        "one",
        Sighting(b"x", True, FAILING, 0),
        Sighting(KEY_A, True, 9, 0),
        Sighting(KEY_A, True, FAILING, -1),
    )
    assert desk.work.rejected == 3
    for n in range(MAX_TRACKED_SERVERS + 5):
        desk.out("one", key=b"%08d" % n)
    assert desk.work.rejected == 8
    for n in range(3 * MAX_CANDIDATES):
        desk.out(f"copy{n}", key=b"%08d" % 1)
    assert len(desk.work._servers[b"%08d" % 1].candidates) == MAX_CANDIDATES
    assert decode_state(b"\xff\x00") == State() and decode_report(b"\x93") is None


def test_further_servers_than_a_state_holds_are_each_copys_own() -> None:
    desk = Desk()
    for n in range(MAX_SERVERS + 10):
        desk.out("one", "other", key=b"%08d" % n)
    assert len(desk.run()) == MAX_SERVERS


def test_the_largest_state_fits() -> None:
    rows = tuple(
        ServerRow(b"%08d" % n, SERVED, 120_000, (b"abcd",) * PROBERS_BY_CALL) for n in range(MAX_SERVERS)
    )
    assert len(encode_state(State(1 << 40, rows))) <= MOST_STATE and len(rows[0].key) == KEY_BYTES


# ------------------------------------------------ a copy


def test_a_copy_hears_the_age_grow_and_no_turn_from_an_owner_that_is_gone() -> None:
    field = Field()
    work = Probers(1, "me", field, lambda: True)
    field.sees[KEY_A] = LocalSighting(True, FAILING, 100.0)
    work.on_committed(encode_state(State(1, (ServerRow(KEY_A, FAILING, 700, (tag_of("me"),)),))), (1, 1))
    work.tick(1_000.0)
    assert field.heard == [(KEY_A, NOTHING, 0.0, True), (KEY_A, FAILING, 700.0, False)]
    field.heard.clear()
    work.tick(1_250.0)  # once each state is heard, and the turn at each look
    assert field.heard == [(KEY_A, NOTHING, 0.0, True)]
    field.heard.clear()
    work.on_committed(
        encode_state(State(1, (ServerRow(KEY_A, FAILING, 700, (tag_of("me"),)),))), (1, 2)
    )  # a lease renewed
    work.tick(1_500.0)
    assert field.heard == [(KEY_A, NOTHING, 0.0, True)]
    field.heard.clear()
    work.tick(1_000.0 + OWNER_TIMEOUT_MS)
    assert field.heard == []


def test_a_copy_tells_once_and_again_under_a_new_term_and_each_finding_in_its_turn() -> None:
    field = Field()
    work = Probers(1, "me", field, lambda: True)
    field.sees[KEY_A] = LocalSighting(True, FAILING, 0.0)

    def told(ms: float, begin: float) -> int:
        count = 0
        for n in range(int(ms / 250.0)):
            now = begin + n * 250.0
            field.sees[KEY_A] = LocalSighting(
                True, FAILING, now - now // RECHECK_INTERVAL_MS * RECHECK_INTERVAL_MS
            )
            count += len(work.tick(now))
        return count

    work.on_committed(b"", (1, 1))
    assert told(10_000.0, 0.0) == 3  # and twice more in case that was lost
    work.on_committed(b"", (2, 1))
    assert told(10_000.0, 10_000.0) == 3
    state = encode_state(State(1, (ServerRow(KEY_A, FAILING, 0, (tag_of("me"),)),)))
    work.on_committed(state, (2, 2))
    assert 3 <= told(3_900.0, 20_000.0) <= 6


def test_scouts_speak_for_all_pools_and_of_listed_upstreams_alone() -> None:
    """An upstream in two pools is told of once: left out where either has, and the newest finding counts."""
    of = Settings((RequestClass(1_000.0, 2_000.0, Effect.SAFE),), may_probe=False)
    pools = [Balancer(of, 1), Balancer(of, 2)]
    heard: list[PeerHealthReport] = []
    targets = {n: Server(n, 1) for n in (1, 2)}
    scout = SharedHealthAdapter(lambda: pools, lambda: targets, heard.append)  # type: ignore[arg-type, return-value]
    for pool in pools:
        pool.handle(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(n, ServerState.READY) for n in (1, 2, 3)]))
    for pool, number, at in ((0, 1, 10.0), (1, 1, 20.0), (1, 2, 30.0), (1, 3, 30.0)):
        server = pools[pool].table.servers[number]
        server.ejections = 1
        pools[pool].shared_health.on_attempt_end(server, Outcome.CONNECT_FAILED, at)
    known = scout.sightings(100.0)
    one, two = (key_of("{}:{}".format(*targets[n].address)) for n in (1, 2))
    assert known == {one: LocalSighting(True, FAILING, 80.0), two: LocalSighting(True, FAILING, 70.0)}
    scout.on_finding(one, PROBED, 5.0, False)
    scout.on_finding(key_of("10.0.0.1:1"), FAILING, 5.0, True)
    assert heard == [PeerHealthReport(1, True, 5.0, False, False)] and not scout.probes()


# ------------------------------------------------ whole fleets


def leave(world: World, zone: int = 1) -> list[int]:
    """A zone is gone after some seconds; its servers."""
    world.run(6_000.0)
    away = [server for server in world.servers.values() if server.zone == zone]
    for server in away:
        server.away = True
    return [server.number for server in away]


def left_out(world: World, number: int) -> int:
    return sum(
        copy.balancer.table.servers[number] in copy.balancer.table.ejected
        for copy in world.copies.values()
        if isinstance(copy, Copier)
    )


def served(world: World, number: int, since_ms: float) -> set[str]:
    return {who for at, which, who, well in world.seen.to if which == number and well and at >= since_ms}


@pytest.mark.parametrize("probes", [True, False])
def test_one_looks_for_all_and_all_are_back_no_later(probes: bool) -> None:
    counts, back = {}, {}
    for keepers in (0, 3):
        world = World(5, 20, servers=12, keepers=keepers, probes=probes)
        away = leave(world)
        world.run(20_000.0)
        counts[keepers] = world.seen.trials_away + world.seen.probes
        world.watched = away
        for number in away:
            world.servers[number].away = False
        begun = world.network.now_ms
        world.run(8_000.0)
        back[keepers] = sum(len(served(world, number, begun)) for number in away)
        assert probes or not world.seen.probes
    assert counts[3] < counts[0] / 2 and back[3] >= back[0]


def test_a_prober_that_alone_is_cut_off_spoils_one_turn() -> None:
    world = World(6, 14, servers=9)
    (number, *_) = leave(world)
    world.run(12_000.0)
    key = key_of("{}:{}".format(*world.servers[number].address))
    first = by_rank(key, *world.copies)[:3]  # whoever has the turn is most likely among them
    world.servers[number].cut.update(first)
    world.servers[number].away = False
    world.watched = [number]
    begun = world.network.now_ms
    world.run((MAX_BAD_FINDINGS + 1) * 3 * RECHECK_INTERVAL_MS + RESTORE_SPREAD_MS + 6_000.0)
    assert len(served(world, number, begun)) >= 9
    assert not served(world, number, begun) & set(first)


def test_without_an_owner_each_copy_goes_on_alone() -> None:
    """All keepers die while a zone is away: within a hold its servers are tried by each copy's own calls again."""
    world = World(7, 12, servers=9)
    away = leave(world)
    world.run(10_000.0)
    keepers = [copy for copy in world.copies.values() if copy.name in world.keepers.names]
    for copy in keepers:
        world.kill(copy)
    world.run(OWNER_TIMEOUT_MS + MAX_EJECTION_HINT_MS)
    for number in away:
        world.servers[number].away = False
    world.watched = away
    begun = world.network.now_ms
    probed = len(world.seen.probed)
    world.run(30_000.0)
    assert len(world.seen.probed) == probed
    assert all(len(served(world, number, begun)) >= 8 for number in away)


def test_the_prober_that_dies_is_followed_and_so_is_the_owner() -> None:
    world = World(8, 14, servers=9)
    (number, *_) = leave(world)
    world.run(10_000.0)
    dead = set()
    for _ in range(2):
        prober = next(who for at, which, who in reversed(world.seen.probed) if which == number)
        owner = world.owner("probers")
        assert owner is not None
        for copy in {world.copies[prober].name: world.copies[prober], owner.name: owner}.values():
            if copy.name not in world.keepers.names or not dead & set(world.keepers.names):
                dead.add(copy.name)
                world.kill(copy)
        world.run(15_000.0)
        at, _, who = next(item for item in reversed(world.seen.probed) if item[1] == number)
        assert who not in dead and at > world.network.now_ms - 4_000.0


def test_a_drained_server_is_not_probed_and_a_delisted_one_neither() -> None:
    """The stand-in fails on a probe of, or a call to, a server that drains."""
    world = World(9, 12, servers=9)
    one, other, *_ = leave(world)
    world.run(8_000.0)
    assert {which for _, which, _ in world.seen.probed} >= {one, other}
    world.servers[one].state = ServerState.DRAINING
    world.told()
    gone = world.servers[other]
    del world.servers[other]
    world.told()
    probed = len([item for item in world.seen.probed if item[1] in (one, other)])
    world.servers[other] = gone  # so that a probe of it would be seen
    world.run(10_000.0)
    assert len([item for item in world.seen.probed if item[1] in (one, other)]) == probed


def test_a_server_back_cold_gets_no_more_than_from_copies_on_their_own() -> None:
    """Restarted while it was away, which the list tells a second late: all copies' calls and probes in its first
    seconds."""
    got = {}
    for keepers in (0, 3):
        world = World(10, 24, servers=9, keepers=keepers, cold_ms=20_000.0)
        away = leave(world)
        world.run(15_000.0)
        world.watched = away
        begun = world.network.now_ms
        for number in away:
            world.servers[number].away = False
            world.servers[number].started_ms = begun
        warm = world.seen.calls / 9 / (begun / 1000.0)  # calls a second that a warm one gets
        world.run(1_000.0)
        world.told()
        late = sum(which in away for _, which, _, _ in world.seen.to) / len(away)
        world.run(4_000.0)
        calls = sum(at >= begun + 1_000.0 for at, _, _, _ in world.seen.to) / len(away) / 4.0
        probes = sum(at >= begun for at, _, _ in world.seen.probed) / len(away)
        got[keepers] = calls
        # In its first five seconds it can do 0.1 to 0.33 of a warm one's work; half of that is what is planned for.
        assert late <= 0.5 * warm and probes <= 4.0
        assert calls <= 0.33 * warm
    assert got[3] <= 1.25 * got[0] + 1.0


def test_a_wrong_good_word_costs_the_first_copies_alone() -> None:
    """It answers probes and no calls: those that are misled tell, and nobody goes by such a word twice."""
    counts = {}
    for keepers in (0, 3):
        world = World(11, 14, servers=9, keepers=keepers)
        (number, *_) = leave(world)
        for server in world.servers.values():
            server.away = False
        world.servers[number].mute = True
        world.watched = [number]
        world.run(30_000.0)
        counts[keepers] = len(world.seen.to)
    assert counts[3] <= 1.2 * counts[0]


# ------------------------------------------------ off


def test_the_duty_is_off_by_default_and_not_imported() -> None:
    assert "probers" not in Owners().duties and not Owners(duties=("probers",)).faults().get("duties")
    code = (
        "import sys, larkweir.coordination.owners, larkweir.lifecycle.node\n"
        "off = {'larkweir_balancing.shared_health', 'larkweir.coordination.duties.probers'}\n"
        "off.add('larkweir.coordination.health_sharing')\n"
        "assert not off & set(sys.modules)"
    )
    subprocess.run([sys.executable, "-c", code], check=True, timeout=60)


def test_times_fit_together() -> None:
    """A finding of each look, as late as an effect may come, still keeps a server out until the next."""
    late = RECHECK_INTERVAL_MS + HEARTBEAT_INTERVAL_MS + 500.0 + 500.0
    assert MAX_EJECTION_HINT_MS * (1.0 - late / REPORT_LIFETIME_MS) > 1_500.0
