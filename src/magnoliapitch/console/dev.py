"""The ``dev`` command."""

from __future__ import annotations

from pathlib import Path

from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.console.signals import install_stop_signals
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

    :param deployment: TOML file that gives the sizes and the catalogue of
        the deployment.
    :param entries: number of entry instances to run in this process, by
        default the number in the file; with 0, run them in other
        processes.
    :param platform_port: port of the simulated log, instance list, workers
        and backend servers; 0 chooses a free port.
    """
    loaded_deployment = read_deployment(deployment)
    configure_logging("dev", loaded_deployment.name, EventLevel.WARNING)
    exit_codes = install_stop_signals()
    serving_cluster = ServingCluster(loaded_deployment, platform_port)
    serving_cluster.start(
        loaded_deployment.entries if entries is None else entries
    )
    try:
        _print_urls(serving_cluster)
        exit_codes.get()
    finally:
        # Printing fails if the output is closed; without this the threads
        # would then keep the process alive.
        serving_cluster.stop()


def read_deployment(file: Path) -> Deployment:
    """Read a deployment file for a command.

    :raises CommandError: if it is not valid.
    """
    try:
        return load_deployment(file)
    except InvalidDeploymentError as error:
        raise CommandError(str(error), ExitCode.INVALID_FILE) from error


def _print_urls(serving_cluster: ServingCluster) -> None:
    url = serving_cluster.server.url
    print(f"deployment {serving_cluster.deployment.name}")
    print(f"log {url}/log")
    print(f"instance-list {url}")
    for node in serving_cluster.cluster.entries:
        address = node.settings.address
        print(
            f"{node.settings.instance_id} zone {node.settings.zone} "
            f"callers http://{address}:{node.caller_listener.port} "
            f"operators http://{address}:{node.admin_listener.port}"
        )
    print("ready; stop with Ctrl-C", flush=True)
