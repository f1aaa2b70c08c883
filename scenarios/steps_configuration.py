"""Steps for the configuration in force."""

import copy
import time

from pytest_bdd import parsers, then, when

from thymefork_standin.http import wait_until


def changed(file, queue_limit):
    """Return a file that differs in one value."""
    file = copy.deepcopy(file)
    file["services"][0]["queue_limit"] = queue_limit
    return file


@when(
    parsers.parse(
        "operator {who} applies a file over version {base:d} at instance {n:d}"
    )
)
def apply_file(b, who, base, n):
    file = changed(b.cluster.file, 100 + len(b.applies))
    reply = b.cluster.apply(file, base, name=b.name(n), author=who)
    b.applies.append((who, reply))


@when(
    parsers.parse(
        "operators {one} and {two} apply at once over version {base:d} at instances"
        " {n:d} and {m:d}"
    )
)
def apply_at_once(b, one, two, base, n, m):
    tries = [
        (
            who,
            b.pool.submit(
                b.cluster.apply, changed(b.cluster.file, limit), base, at, who
            ),
        )
        for who, limit, at in ((one, 201, b.name(n)), (two, 202, b.name(m)))
    ]
    b.applies += [(who, done.result()) for who, done in tries]


@then("exactly one operator won and the other was told who")
def one_won(b):
    won = [(who, r) for who, r in b.applies if r.status == 200]
    lost = [r for _, r in b.applies if r.status == 409]
    assert len(won) == 1 and len(lost) == 1, b.applies
    assert lost[0].document["author"] == won[0][0]
    assert not lost[0].document["accepted"]


@then("the last apply was accepted")
def last_accepted(b):
    assert b.applies[-1][1].status == 200, b.applies[-1]


@then(
    parsers.parse("version {version:d} is in force on every live instance within 2 s")
)
def in_force(b, version):
    live = [n for n in b.cluster.names if b.cluster.daemons[n].exit_code is None]

    def everywhere():
        versions = [b.cluster.report(name).get("config_version") for name in live]
        return versions == [version] * len(live)

    wait_until(everywhere, timeout_s=2.0, what=f"version {version} everywhere")


@then(parsers.parse("instance {n:d} takes version {version:d} within {span_ms:d} ms"))
def takes_version(b, n, version, span_ms):
    wait_until(
        lambda: b.cluster.report(b.name(n)).get("config_version") == version,
        timeout_s=span_ms / 1000,
        what=f"version {version} at instance {n}",
    )


@then(
    parsers.parse(
        "no live instance ever shows a version below {version:d} for {span_ms:d} ms"
    )
)
def never_below(b, version, span_ms):
    until_s = time.monotonic() + span_ms / 1000
    while time.monotonic() < until_s:
        for name in b.cluster.names:
            report = b.cluster.report(name)
            if report.get("ready"):
                assert report["config_version"] >= version, (name, report)


@then(
    parsers.parse(
        "for {span_ms:d} ms no live instance goes back, and all come to version"
        " {version:d}"
    )
)
def nobody_goes_back(b, span_ms, version):
    until_s = time.monotonic() + span_ms / 1000
    shown = {}
    while time.monotonic() < until_s:
        for name in b.cluster.names:
            report = b.cluster.report(name)
            now_shown = report.get("config_version", 0)
            assert now_shown >= shown.get(name, 0), (name, report, shown)
            shown[name] = now_shown
    assert set(shown.values()) == {version}, shown


@when(parsers.parse("the log loses the last {rows:d} records of {stream}"))
def drop_tail(b, rows, stream):
    b.cluster.switch("log", drop_tail={stream: rows})


@when("the log restarts empty")
def restart_log(b):
    b.cluster.switch("log", restart=True)
