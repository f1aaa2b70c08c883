"""The whole path once, on loopback, with every answer printed."""

import subprocess
import sys
from pathlib import Path

import orjson

from .cluster import Cluster
from .http import call

__all__ = ["main"]

CLI = "thymefork_cli.main"


class Demo:
    """Run each step, print its answer and remember whether all came out right."""

    def __init__(self, *, cluster, path):
        self.cluster = cluster
        self.path = path
        self.failures = []

    def expect(self, step, right, shown):
        """Print a step's answer; note one that is not right."""
        print(f"{'ok  ' if right else 'FAIL'} {step}: {shown}", flush=True)
        if not right:
            self.failures.append(step)

    def run(self):
        """Run all steps."""
        self.apply()
        self.lookup()
        self.stream()
        self.works()
        self.report()

    def command(self, *arguments):
        """Run the operators' command line."""
        url = f"http://127.0.0.1:{self.cluster.ports[self.cluster.names[0]]}"
        done = subprocess.run(
            [sys.executable, "-m", CLI, *arguments, "--to", url],
            capture_output=True,
            text=True,
            check=False,
        )
        return done.returncode, done.stdout + done.stderr

    def apply(self):
        """Apply the file over the version that is in force."""
        code, text = self.command("apply", str(self.path), "--base", "1", "--json")
        self.expect("apply a whole file", code == 0, text.strip())
        code, text = self.command("apply", str(self.path), "--base", "1", "--json")
        self.expect("apply over an old base is refused", code == 3, text.strip())

    def lookup(self):
        """Send a lookup to each instance."""
        for name in self.cluster.names:
            reply = self.cluster.lookup(name, "item?q=quijote")
            right = reply.status == 200 and reply.document["q"] == "quijote"
            self.expect(f"lookup at {name}", right, reply.body.decode())

    def stream(self):
        """Hold a stream until its end."""
        service = self.cluster.file["services"][0]["name"]
        port = self.cluster.ports[self.cluster.names[0]]
        reply = call(port, "GET", f"/stream/{service}/harvest?parts=5")
        right = reply.body.count(b"part") == 5
        self.expect("hold a stream of 5 parts", right, reply.body)

    def works(self):
        """Submit a task, a job of 16 tasks and a service."""
        cluster = self.cluster
        for name, spec in (
            (cluster.names[0], cluster.spec()),
            (cluster.names[2], cluster.spec("job", tasks=16, at_most_once=True)),
            (cluster.names[4], cluster.spec("service", run_ms=0)),
        ):
            answers = cluster.submit(name, spec)
            right = answers[0]["outcome"] == "done"
            self.expect(f"submit a {spec['kind']}", right, answers)
            again = cluster.submit(name, spec)
            self.expect("the same id joins it", again[0] == answers[0], "same answer")
        form = {"work_ids": [spec["work_id"]]}
        reply = cluster.post(cluster.names[4], "/cancel", form)
        right = reply.document["answers"][0]["reason"] == "cancelled"
        self.expect("cancel the service", right, reply.body.decode())

    def report(self):
        """Print the report of an instance."""
        code, text = self.command("report", "status")
        self.expect("thymefork report status", code == 0, f"\n{text}")


def main():
    """Run the demo; exit 0 only if everything came out right."""
    path = Path(sys.argv[1] if len(sys.argv) > 1 else "examples/libraries.json")
    with Cluster(file=orjson.loads(path.read_bytes())) as cluster:
        demo = Demo(cluster=cluster, path=path)
        demo.run()
    print(f"{len(demo.failures)} steps failed {demo.failures}")
    sys.exit(1 if demo.failures else 0)


if __name__ == "__main__":
    main()
