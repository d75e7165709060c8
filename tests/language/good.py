"""Good files, each with what is in force by it: keys of the model that differ from their defaults."""

from __future__ import annotations

from typing import Any, NamedTuple


class Good(NamedTuple):
    name: str
    text: str
    means: dict[str, Any]  # by table.key of the model, what differs from the defaults
    files: dict[str, str] = {}  # noqa: RUF012  beside it


GOOD = (
    Good("nothing", "", {}),
    Good("a comment alone", "# nothing yet", {}),
    Good("blank lines and tabs", "\n\t\n \t\n", {}),
    Good("carriage returns", "lifecycle {\r\n\taccept = 5ms;\r\n}\r\n", {"lifecycle.accept_ms": 5.0}),
    Good("no end of the last line", "lifecycle { accept = 5ms; }", {"lifecycle.accept_ms": 5.0}),
    Good(
        "all on one line",
        "door{on=yes;high=30%;low=20%;}",
        {"door.on": True, "door.high": 0.3, "door.low": 0.2},
    ),
    Good("an empty block", "lifecycle { }", {}),
    Good(
        "one block in two places",
        "lifecycle { notify = yes; }\nlifecycle { accept = 5ms; }",
        {"lifecycle.notify": True, "lifecycle.accept_ms": 5.0},
    ),
    Good("microseconds", "lifecycle { accept = 500us; }", {"lifecycle.accept_ms": 0.5}),
    Good("milliseconds", "lifecycle { accept = 500ms; }", {"lifecycle.accept_ms": 500.0}),
    Good("seconds with a part", "lifecycle { accept = 1.25s; }", {"lifecycle.accept_ms": 1250.0}),
    Good("a minute", "lifecycle { accept = 1m; }", {"lifecycle.accept_ms": 60_000.0}),
    Good("an exponent", "lifecycle { accept = 2e3ms; }", {"lifecycle.accept_ms": 2000.0}),
    Good("grouped digits", "lifecycle { accept = 2_000ms; }", {"lifecycle.accept_ms": 2000.0}),
    Good("zero where it is allowed", "lifecycle { accept = 0s; }", {"lifecycle.accept_ms": 0.0}),
    Good(
        "a rate by the second",
        "storms { on = yes; connects = 5/s; }",
        {"storms.on": True, "storms.connects_per_s": 5.0},
    ),
    Good(
        "a rate by the minute",
        "storms { on = yes; connects = 90/m; }",
        {"storms.on": True, "storms.connects_per_s": 1.5},
    ),
    Good("percent", "retries { ratio = 12.5%; }", {"retries.ratio": 0.125}),
    Good("a part as a number", "retries { ratio = 0.125; }", {"retries.ratio": 0.125}),
    Good("a multiple", "ejection { slow = 6x; }", {"ejection.slow": 6.0}),
    Good("a multiple without its mark", "ejection { slow = 6; }", {"ejection.slow": 6.0}),
    Good("a word in quotes", 'lifecycle { reload = "whole"; }', {"lifecycle.reload": "whole"}),
    Good(
        "true and false",
        "lifecycle { notify = true; }\nfastcgi { keep = false; }",
        {"lifecycle.notify": True, "fastcgi.keep": False},
    ),
    Good(
        "one text for a list",
        'budget { on = yes; trust = "unix"; }',
        {"budget.on": True, "budget.trust": ("unix",)},
    ),
    Good(
        "a list with a comma behind its last",
        'budget { on = yes; trust = ["10.0.0.0/8", "unix",]; }',
        {"budget.on": True, "budget.trust": ("10.0.0.0/8", "unix")},
    ),
    Good("an empty list", "fastcgi { listen = []; }", {}),
    Good(
        "an address and a path",
        'fastcgi { listen = ["127.0.0.1:9000", "unix:/run/x.sock"]; }',
        {"fastcgi.listen": ("127.0.0.1:9000", "unix:/run/x.sock")},
    ),
    Good(
        "marks and comments in a text",
        'budget { on = yes; hop = "a.b-c_d/e"; } # "{ ;',
        {"budget.on": True, "budget.hop": "a.b-c_d/e"},
    ),
    Good("a constant", 'let quick = 410ms;\nclass "a" { aim = $quick; }', {"class.a.aim_ms": 410.0}),
    Good(
        "a constant before it is told",
        'class "a" { aim = $quick; }\nlet quick = 410ms;',
        {"class.a.aim_ms": 410.0},
    ),
    Good(
        "a constant of a constant",
        "let a = $b;\nlet b = 20%;\nretries { ratio = $a; }",
        {"retries.ratio": 0.2},
    ),
    Good(
        "lists of constants",
        'let ours = ["10.0.0.0/8"];\nlet all = [$ours, "unix"];\nbudget { on = yes; trust = $all; }',
        {"budget.on": True, "budget.trust": ("10.0.0.0/8", "unix")},
    ),
    Good(
        "a template",
        'template t { attempts = 2; worth = 3; }\nclass "a" : t { }\nclass "b" : t { worth = 4; }',
        {"class.a.attempts": 2, "class.a.worth": 3.0, "class.b.attempts": 2, "class.b.worth": 4.0},
    ),
    Good(
        "a template of templates",
        "template a { attempts = 2; worth = 3; }\ntemplate b : a { worth = 5; }\n" 'class "x" : b { }',
        {"class.x.attempts": 2, "class.x.worth": 5.0},
    ),
    Good(
        "two templates, of which the later counts",
        "template a { attempts = 2; worth = 3; }\n" 'template b { worth = 5; }\nclass "x" : a, b { }',
        {"class.x.attempts": 2, "class.x.worth": 5.0},
    ),
    Good(
        "a template for a block without a label",
        "template calm { ratio = 10%; }\nretries : calm { burst = 2; }",
        {"retries.ratio": 0.1, "retries.burst": 2.0},
    ),
    Good(
        "names with marks in them",
        'class "a.b-c" { worth = 2; }\nlet d_e = $f;\nlet f = 1;\n' 'class "x y" { attempts = $d_e; }',
        {"class.a.b-c.worth": 2.0, "class.x y.attempts": 1},
    ),
    Good("every other class", 'class "*" { attempts = 2; }', {"class.*.attempts": 2}),
    Good(
        "all of a class",
        'class "a" { attempts = 2; worth = 8; aim = 400ms; deadline = 1s; repeats = by_key; }',
        {
            "class.a.attempts": 2,
            "class.a.worth": 8.0,
            "class.a.aim_ms": 400.0,
            "class.a.deadline_ms": 1000.0,
            "class.a.repeats": "by_key",
        },
    ),
    Good(
        "shares that fit",
        'tenant "a" { share = 60%; }\ntenant "b" { share = 40%; }',
        {"tenant.a.share": 0.6, "tenant.b.share": 0.4},
    ),
    Good(
        "all policies",
        "retries { ratio = 10%; burst = 4; }\nejection { odds = 1%; most = 30%; slow = 8x; }\n"
        "queue { patience = 20%; standing = 5%; }\ncold { pace = 20%; }\ndrain { grace = 300ms; }\nadvice { most = 2s; }",
        {
            "retries.ratio": 0.1,
            "retries.burst": 4.0,
            "ejection.odds": 0.01,
            "ejection.most": 0.3,
            "ejection.slow": 8.0,
            "queue.patience": 0.2,
            "queue.standing": 0.05,
            "cold.pace": 0.2,
            "drain.grace_ms": 300.0,
            "advice.most_ms": 2000.0,
        },
    ),
    Good("an include", 'include "a.lw";', {"retries.burst": 2.0}, {"a.lw": "retries { burst = 2; }"}),
    Good(
        "includes by a pattern",
        'include "limits/*.lw";',
        {"retries.burst": 2.0, "retries.ratio": 0.1},
        {
            "limits/b.lw": "retries { burst = 2; }",
            "limits/a.lw": "retries { ratio = 10%; }",
            "limits/c.txt": "}",
        },
    ),
    Good(
        "an include below an include",
        'include "d/a.lw";',
        {"retries.burst": 2.0},
        {"d/a.lw": 'include "e/b.lw";', "d/e/b.lw": "retries { burst = 2; }"},
    ),
    Good(
        "a diamond",
        'include "a.lw";\ninclude "b.lw";',
        {"retries.burst": 2.0},
        {"a.lw": 'include "c.lw";', "b.lw": 'include "c.lw";', "c.lw": "let n = 2;\nretries { burst = $n; }"},
    ),
    Good(
        "one file by two ways of writing",
        'include "a.lw";\ninclude "./d/../a.lw";',
        {"retries.burst": 2.0},
        {"a.lw": "retries { burst = 2; }", "d/x": ""},
    ),
    Good(
        "a pattern that matches its own file",
        'include "*.lw";\nretries { ratio = 10%; }',
        {"retries.burst": 2.0, "retries.ratio": 0.1},
        {"a.lw": "retries { burst = 2; }"},
    ),
    Good(
        "a link within the folder",
        'include "b.lw";',
        {"retries.burst": 2.0},
        {"d/a.lw": "retries { burst = 2; }", "b.lw": "-> d/a.lw"},
    ),
    Good(
        "a constant of another file",
        'include "a.lw";\nretries { burst = $n; }',
        {"retries.burst": 2.0},
        {"a.lw": "let n = 2;"},
    ),
)
