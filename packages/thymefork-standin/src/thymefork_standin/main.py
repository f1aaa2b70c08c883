"""Starting one stand-in as a process."""

import asyncio

import typer

from .caller import Caller
from .instance_list import InstanceListService
from .log_service import LogService
from .relay import Relay
from .worker import Worker

app = typer.Typer(add_completion=False)

HOST = "127.0.0.1"


@app.command()
def log(port: int, retention_rows: int = 100_000, retention_s: float = 3600.0):
    """Serve an append-only log."""
    LogService(HOST, port, retention_rows, retention_s).run()


@app.command()
def instances(port: int, lag_s: float = 0.0):
    """Serve an instance list."""
    InstanceListService(HOST, port, lag_s).run()


@app.command()
def worker(port: int, name: str = "", service_ms: float = 2.0):
    """Run a worker with its endpoint."""
    Worker(HOST, port, name, 1.0, service_ms).run()


@app.command()
def relay(port: int):
    """Relay TCP links that can be cut."""
    asyncio.run(Relay(host=HOST, port=port).run())


@app.command()
def load(
    ports: list[int],
    service: str = "catalogo",
    rate: float = 100.0,
    span_s: float = 10.0,
    seed: int = 0,
):
    """Send lookups at a set rate and print the latencies."""
    caller = Caller(ports=ports, rate_per_s=rate, span_s=span_s, seed=seed)
    path = f"/lookup/{service}/item"
    result = caller.run(lambda index: ("GET", f"{path}-{index}?q={index}", b""))
    print(result.summary())


if __name__ == "__main__":
    app()
