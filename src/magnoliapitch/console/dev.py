"""The ``dev`` command."""

from __future__ import annotations

from pathlib import Path

from magnoliapitch.console.ending import ending_on_signals
from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.event import EventLevel
from magnoliapitch.event import configure_logging
from magnoliapitch.standin.deployment import Deployment
from magnoliapitch.standin.deployment import load_deployment
from magnoliapitch.standin.exceptions import InvalidDeploymentError
from magnoliapitch.standin.serving import ServingCluster


def dev(
    deployment: Path = Path("examples/clubs.toml"),
    *,
    entries: int | None = None,
    platform_port: int = 0,
) -> None:
    """Serve a whole deployment in one process until SIGINT or SIGTERM.

    Everything is kept in memory and listens on 127.0.0.1 only.

    :param deployment: deployment file with sizes and catalogue.
    :param entries: entry instances to run in this process, by default as
        many as the file says; 0 leaves them to other processes.
    :param platform_port: port of the stand-ins of log, instance list,
        workers and backend servers; 0 picks one.
    """
    loaded = read_deployment(deployment)
    configure_logging("dev", loaded.name, EventLevel.WARNING)
    ends = ending_on_signals()
    serving = ServingCluster(loaded, platform_port)
    serving.start(loaded.entries if entries is None else entries)
    try:
        _print_urls(serving)
        ends.get()
    finally:
        # Its threads would keep a process alive whose output was closed.
        serving.stop()


def read_deployment(file: Path) -> Deployment:
    """Read a deployment file for a command.

    :raises CommandError: if it is not valid.
    """
    try:
        return load_deployment(file)
    except InvalidDeploymentError as error:
        raise CommandError(str(error), ExitCode.INVALID_FILE) from error


def _print_urls(serving: ServingCluster) -> None:
    url = serving.server.url
    print(f"deployment {serving.deployment.name}")
    print(f"log {url}/log")
    print(f"instance-list {url}")
    for node in serving.cluster.entries:
        address = node.settings.address
        print(
            f"{node.settings.instance_id} zone {node.settings.zone} "
            f"callers http://{address}:{node.caller_listener.port} "
            f"operators http://{address}:{node.admin_listener.port}"
        )
    print("ready; stop with Ctrl-C", flush=True)
