"""Starts and stops a deployment on loopback for benchmarks and soak runs."""

import contextlib
import copy
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
BERYLSPOOL_COMMAND = [sys.executable, "-m", "berylspool"]


@dataclass
class Deployment:
    """Processes of one deployment.

    Attributes:
        folder: Working folder of the processes, with settings, logs and data.
        settings: Contents of the settings file.
        process_by_name: Running processes.
    """

    folder: Path
    settings: dict[str, Any]
    process_by_name: dict[str, subprocess.Popen] = field(default_factory=dict)

    @property
    def settings_path(self) -> Path:
        """Settings file of the deployment."""
        return self.folder / "settings.yaml"

    def start(
        self,
        role: str,
        name: str,
        *arguments: str,
        settings: Path | None = None,
    ) -> None:
        """Start one process, with its output appended to `NAME.err`.

        Args:
            role: Subcommand of berylspool.
            name: Name of the process.
            *arguments: Further arguments of the subcommand.
            settings: Settings file; None for that of the deployment.
        """
        path = str(settings or self.settings_path)
        command = [*BERYLSPOOL_COMMAND, role, "--settings", path, *arguments]
        output = open(self.folder / f"{name}.err", "ab")  # noqa: SIM115
        self.process_by_name[name] = subprocess.Popen(
            command, cwd=self.folder, stdout=output, stderr=output
        )

    def start_entry(self, name: str) -> None:
        """Start an entry."""
        self.start("entry", name, "--name", name)

    def start_control(self, name: str) -> None:
        """Start a control node, which may found the group."""
        self.start("control", name, "--name", name, "--init")

    def signal(self, name: str, signal_number: int) -> None:
        """Send a signal to a process."""
        self.process_by_name[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Kill a process, also if it is suspended, and wait until it exits."""
        process = self.process_by_name.pop(name)
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()

    def wait_ready(self) -> None:
        """Wait until every started entry reports that it is ready.

        Raises:
            TimeoutError: An entry was not ready in time.
        """
        ready_deadline = time.monotonic() + READY_TIMEOUT_S
        for name, entry in self.settings["entries"].items():
            url = f"http://{entry['address']}/readyz"
            while name in self.process_by_name:
                with contextlib.suppress(OSError):
                    urllib.request.urlopen(url, timeout=1).close()
                    break
                if time.monotonic() > ready_deadline:
                    output = (self.folder / f"{name}.err").read_text()
                    raise TimeoutError(
                        f"{name} was not ready within {READY_TIMEOUT_S:g} s: "
                        f"{output}"
                    )
                time.sleep(0.05)

    def ctl(self, *words: str) -> str:
        """Run one operator command and return its output and errors."""
        path = str(self.settings_path)
        command = [*BERYLSPOOL_COMMAND, "ctl", "--settings", path, *words]
        completed = subprocess.run(
            command, capture_output=True, text=True, timeout=60
        )
        return completed.stdout + completed.stderr

    def stop(self) -> None:
        """Stop all processes; kill those that do not exit in time."""
        for process in self.process_by_name.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self.process_by_name.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.process_by_name.clear()

    def cpu_s(self, name: str) -> float:
        """Return the processor time that a process has used, in seconds."""
        pid = self.process_by_name[name].pid
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self, name: str) -> float:
        """Return the resident memory of a process in megabytes."""
        pid = self.process_by_name[name].pid
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


def merge_settings(
    base: dict[str, Any], changes: dict[str, Any]
) -> dict[str, Any]:
    """Return a deep copy of `base`, recursively updated with `changes`."""
    merged = copy.deepcopy(base)
    for key, value in changes.items():
        if isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = merge_settings(merged[key], value)
        else:
            merged[key] = copy.deepcopy(value)
    return merged


@contextlib.contextmanager
def run_deployment(
    example: str,
    changes: dict[str, Any] | None = None,
    *,
    entries: int | None = None,
    with_control: bool = True,
) -> Iterator[Deployment]:
    """Run a deployment from an example file for the length of a context.

    Args:
        example: Name of a file in `examples/`, without its extension.
        changes: Settings that replace those of the example.
        entries: Number of entries to start; None starts all.
        with_control: Whether control nodes are started.

    Yields:
        The deployment, with all entries ready.
    """
    path = Path(__file__).parent.parent / "examples" / f"{example}.yaml"
    settings = merge_settings(yaml.safe_load(path.read_text()), changes or {})
    if entries is not None:
        kept_entries = list(settings["entries"].items())[:entries]
        settings["entries"] = dict(kept_entries)
    if not with_control:
        settings["controls"] = {}
    with tempfile.TemporaryDirectory(prefix="berylspool-") as folder:
        deployment = Deployment(Path(folder), settings)
        deployment.settings_path.write_text(yaml.safe_dump(settings))
        try:
            for zone in settings["initial"]["zones"]:
                record = f"records-{zone}.jsonl"
                options = ("--zone", zone, "--record", record)
                deployment.start("standin", f"standin-{zone}", *options)
            time.sleep(1.0)
            for name in settings["controls"]:
                deployment.start_control(name)
            for name in settings["entries"]:
                deployment.start_entry(name)
            deployment.wait_ready()
            yield deployment
        finally:
            deployment.stop()
