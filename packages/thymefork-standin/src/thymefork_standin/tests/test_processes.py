"""Guards against test runs on one machine that talk to each other's servers."""

import os
import subprocess
import sys

import pytest

from thymefork_standin.processes import free_ports

PORTS = 8
# Prints ports, then holds them until its input ends.
HOLDER = (
    "import sys; from thymefork_standin.processes import free_ports;"
    f"print(*free_ports({PORTS}), flush=True); sys.stdin.read()"
)


@pytest.fixture
def start_holder():
    """Start processes of other test runs, and end them after the test."""
    holders = []

    def start(worker):
        holder = subprocess.Popen(
            [sys.executable, "-c", HOLDER],
            env={**os.environ, "PYTEST_XDIST_WORKER": worker},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        holders.append(holder)
        return holder

    yield start
    for holder in holders:
        holder.stdin.close()
        holder.wait()
        holder.stdout.close()


# Two CI runs at once failed: both started servers on the same ports.
@pytest.mark.parametrize("runs", [2, 5])
def test_concurrent_test_runs_get_different_ports(start_holder, runs):
    holders = [start_holder("gw0") for _ in range(runs)]
    ports = [
        int(word) for holder in holders for word in holder.stdout.readline().split()
    ]
    assert len(ports) == runs * PORTS
    assert len(set(ports)) == len(ports)


# A port that was just given must not be given again before its server binds it.
def test_ports_of_one_process_are_different():
    ports = [port for _ in range(20) for port in free_ports(PORTS)]
    assert len(set(ports)) == len(ports)
