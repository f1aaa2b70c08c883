"""Steps that kill, pause and start instances."""

import time

from pytest_bdd import parsers, then, when

from thymefork_standin.http import wait_until


@when(parsers.parse("instance {n:d} is killed"))
def kill(b, n):
    b.cluster.daemons[b.name(n)].kill()


@when(parsers.parse("instance {n:d} is paused for {span_ms:d} ms"))
def pause(b, n, span_ms):
    b.cluster.daemons[b.name(n)].pause()
    time.sleep(span_ms / 1000)
    b.cluster.daemons[b.name(n)].resume()


@when(parsers.parse("instance {n:d} is paused"))
def pause_on(b, n):
    b.cluster.daemons[b.name(n)].pause()


@when(parsers.parse("instance {n:d} goes on"))
def resume(b, n):
    b.cluster.daemons[b.name(n)].resume()


@when(parsers.parse("instance {n:d} is started again"))
def start_again(b, n):
    b.cluster.start_daemon(b.name(n))
    b.cluster.wait_health(b.name(n))


@then(parsers.parse("instance {n:d} owns every worker within {span_ms:d} ms"))
def owns_all(b, n, span_ms):
    name = b.name(n)
    hall = b.cluster.hall_of[name]
    wanted = {w["name"] for w in b.cluster.file["workers"] if w["hall"] == hall}

    def owned():
        report = b.cluster.report(name)
        opened = {w["name"] for w in report["workers"] if w["open_for_work"]}
        return opened == wanted

    wait_until(owned, timeout_s=span_ms / 1000, what="the takeover")
