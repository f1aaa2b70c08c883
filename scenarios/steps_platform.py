"""Steps that break the platform's log."""

import time

from pytest_bdd import parsers, when

from thymefork_standin.http import wait_until


@when("the log goes out")
def log_out(b):
    b.cluster.switch("log", outage="refuse")
    for name in b.cluster.names:
        wait_until(lambda n=name: not _alive(b, n) or _sees_outage(b, n))


def _alive(b, name):
    return b.cluster.daemons[name].exit_code is None


def _sees_outage(b, name):
    return b.cluster.report(name).get("log_down", False)


@when("the log goes out for records only")
def log_out_for_records(b):
    b.cluster.switch("log", outage="appends")


@when(parsers.parse("the log keeps only {rows:d} records of a stream"))
def limit_retention(b, rows):
    b.cluster.switch("log", retention_rows=rows)


@when("the log comes back")
def log_back(b):
    b.cluster.switch("log", outage="")
    for name in b.cluster.names:
        wait_until(lambda n=name: not _alive(b, n) or not _sees_outage(b, n))


@when(parsers.parse("the log loses the answers of the next {n:d} appends of {what}"))
def lose_answers(b, n, what):
    b.cluster.switch("log", lose_answers=n, lose_match=what)


@when(parsers.parse("time passes for {span_ms:d} ms"))
def time_passes(span_ms):
    time.sleep(span_ms / 1000)
