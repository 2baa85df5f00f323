"""The command line: one program for all roles and tools."""

import asyncio
import sys
import time
from collections.abc import Coroutine, Iterable
from pathlib import Path
from typing import Annotated, Any, BinaryIO

import orjson
import uvloop
from cyclopts import App, Parameter
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from berylspool.exception import BerylspoolError
from berylspool.process.control.role import ControlNode
from berylspool.process.entry.role import Entry
from berylspool.process.log import log_to_file
from berylspool.process.settings import (
    Settings,
    load_settings,
    split_address,
)
from berylspool.release import VERSION
from berylspool.tool.explain import explain
from berylspool.tool.load_generator import LoadPlan, run_load, summarize
from berylspool.tool.operator_client import (
    CommandOptions,
    OperatorClient,
    interact,
    print_answer,
    run_with_progress,
)
from berylspool.tool.standin import make_standins, open_recorder, run_standins
from berylspool.tool.start_report import describe_starts
from berylspool.version.schema import to_configuration

__all__ = ["app", "main"]

EXIT_SETTINGS = 2

app = App(
    name="berylspool",
    help="A query tier over very many shards.",
    version=VERSION,
)

SettingsFile = Annotated[
    Path, Parameter(name=["--settings", "-s"], help="Settings file (YAML).")
]


def run_on_event_loop(
    settings: Settings, coroutine: Coroutine[Any, Any, Any]
) -> Any:
    """Run a coroutine on the event loop that the settings choose."""
    factory = uvloop.new_event_loop
    if settings.event_loop == "asyncio":
        return asyncio.run(coroutine)
    with asyncio.Runner(loop_factory=factory) as runner:
        return runner.run(coroutine)


@app.command
def entry(*, settings: SettingsFile, name: str) -> None:
    """Run an entry, which answers callers.

    Args:
        settings: Settings file of the deployment.
        name: Name of this entry in the settings.
    """
    loaded = load_settings(settings)
    log_to_file(loaded.log.path)
    run_on_event_loop(loaded, _run_entry(name, loaded))


async def _run_entry(name: str, settings: Settings) -> None:
    await Entry(name, settings).run()


@app.command
def control(
    *,
    settings: SettingsFile,
    name: str,
    init: bool = False,
    restore: Path | None = None,
) -> None:
    """Run a control node, which stores the configuration.

    Args:
        settings: Settings file of the deployment.
        name: Name of this control node in the settings.
        init: Found the deployment, provided that the data folder is empty
            and no other founder has ever received a consensus message from
            this node.
        restore: Backup from which a new deployment starts; every founder
            needs the same file.
    """
    loaded = load_settings(settings)
    log_to_file(loaded.log.path)
    backup = restore.read_bytes() if restore else b""
    run_on_event_loop(loaded, _run_control(name, loaded, init, backup))


async def _run_control(
    name: str, settings: Settings, is_init: bool, backup: bytes
) -> None:
    await ControlNode(name, settings, is_init, backup).run()


@app.command
def ctl(
    *words: str,
    settings: SettingsFile,
    json: bool = False,
    wait: bool = False,
    dry_run: bool = False,
    token: str = "",
    id: str = "",
    base: int | None = None,
    script: Path | None = None,
    backup: Path | None = None,
) -> None:
    """Query or change the configuration in the operators' language.

    Without words, commands are read from the terminal.  The exit code is 0
    for success, 1 for a refusal, 2 for invalid settings or syntax and 3 for
    a conflict with another change.

    Args:
        words: Words of one command.
        settings: Settings file of the deployment.
        json: Print JSON instead of tables.
        wait: Wait until a change is in force everywhere.
        dry_run: Print the effect of a change without applying it.
        token: Administration token.
        id: Id of the command; a resend with the same id is applied once.
        base: Revision that the command is based on; by default the current
            one.
        script: File with one command per line.
        backup: File to which a backup of the replicated state is written.
    """
    loaded = load_settings(settings)
    options = CommandOptions(token, wait, dry_run, json, id, base)
    sys.exit(asyncio.run(_run_ctl(loaded, options, words, script, backup)))


async def _run_ctl(
    settings: Settings,
    options: CommandOptions,
    words: tuple[str, ...],
    script: Path | None,
    backup: Path | None,
) -> int:
    client = OperatorClient(settings, options)
    if backup is not None:
        backup.write_bytes(await client.fetch_backup())
        return 0
    texts = [" ".join(words)] if words else []
    if script is not None:
        texts = script.read_text(encoding="utf-8").splitlines()
    if not texts:
        await interact(client, options)
        return 0
    for text in texts:
        if not text.strip() or text.startswith("#"):
            continue
        reply = await run_with_progress(client, text, options)
        code = print_answer(reply, options.is_json)
        if code:
            return code
    return 0


@app.command
def standin(
    *, settings: SettingsFile, zone: str = "", record: str = ""
) -> None:
    """Run a stand-in for each upstream of the initial configuration.

    Args:
        settings: Settings file of the deployment.
        zone: Run only the stand-ins of one availability zone.
        record: File to which a record of each part is appended; overrides
            the settings.
    """
    loaded = load_settings(settings)
    write_record = open_recorder(record or loaded.standin.record)
    standins = make_standins(
        to_configuration(loaded.initial),
        loaded.standin,
        time.monotonic,
        write_record,
    )
    selected = [s for s in standins if zone in ("", s.upstream.zone)]
    run_on_event_loop(loaded, run_standins(selected))


@app.command
def check(settings: Path) -> None:
    """Check a settings file.

    Args:
        settings: Settings file of a deployment.
    """
    loaded = load_settings(settings)
    configuration = to_configuration(loaded.initial)
    print(
        f"{settings}: {len(loaded.entries)} entries, "
        f"{len(loaded.controls)} control nodes, "
        f"{len(configuration.service_by_name)} services, "
        f"{len(configuration.route_by_name)} routes"
    )


@app.command(name="explain")
def explain_request(request: str, *files: Path) -> None:
    """Print the timeline of one request from log files.

    Args:
        request: Id that the caller sent.
        files: Log files, one for each process; a dash is standard input.
    """
    for text in explain(request, _open_logs(files)).describe():
        print(text)


@app.command(name="starts")
def report_starts(*files: Path) -> None:
    """Print how long processes took from each start until they could serve.

    Args:
        files: Log files, one for each process; a dash is standard input.
    """
    for text in describe_starts(_open_logs(files)):
        print(text)


def _open_logs(files: Iterable[Path]) -> list[tuple[str, BinaryIO]]:
    return [
        (str(path), sys.stdin.buffer if str(path) == "-" else path.open("rb"))
        for path in files
    ]


@app.command
def load(
    *,
    settings: SettingsFile,
    route: str,
    rate: float = 50.0,
    duration_s: float = 10.0,
    deadline_ms: int = 1000,
    seed: int = 1,
    min_coverage: float = 1.0,
    command: bool = False,
    json: bool = False,
) -> None:
    """Send an open-loop load to all entries and print a table.

    Args:
        settings: Settings file of the deployment.
        route: Route of the requests.
        rate: Requests per second.
        duration_s: Length of the run in seconds.
        deadline_ms: Deadline of each request in milliseconds.
        seed: Seed for arrival times and the choice of entries and bodies.
        min_coverage: Minimum coverage that requests ask for, from 0 to 1.
        command: Send requests that may not be repeated.
        json: Print JSON instead of a table.
    """
    loaded = load_settings(settings)
    targets = tuple(
        split_address(entry_settings.address)
        for entry_settings in loaded.entries.values()
    )
    plan = LoadPlan(
        targets,
        route,
        rate,
        duration_s,
        deadline_ms,
        seed,
        min_coverage,
        command,
    )
    with Progress(console=Console(stderr=True)) as progress:
        task = progress.add_task("requests", total=int(rate * duration_s))
        result = run_on_event_loop(
            loaded,
            run_load(plan, lambda sent: progress.update(task, completed=sent)),
        )
    load_summary = summarize(plan, result)
    if json:
        sys.stdout.write(orjson.dumps(load_summary).decode() + "\n")
    else:
        _print_summary(load_summary)


def _print_summary(load_summary: dict[str, Any]) -> None:
    table = Table("figure", "value")
    for name, value in load_summary.items():
        if isinstance(value, dict):
            for key, number in value.items():
                table.add_row(f"{name} {key}", str(number))
        else:
            table.add_row(name, str(value))
    Console().print(table)


def main() -> None:
    """Run the command line; print errors of the project as one message."""
    try:
        app()
    except BerylspoolError as error:
        sys.stderr.write(f"{type(error).__name__}: {error}\n")
        sys.exit(EXIT_SETTINGS)


if __name__ == "__main__":
    main()
