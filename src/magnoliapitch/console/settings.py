"""The ``settings`` commands."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING
from typing import TypeVar

from cyclopts import App

from magnoliapitch.console.exceptions import CommandError
from magnoliapitch.console.exit_code import ExitCode
from magnoliapitch.settings import InvalidSettingsError
from magnoliapitch.settings import Settings
from magnoliapitch.settings import load_settings
from magnoliapitch.settings.cluster import ClusterSettings
from magnoliapitch.settings.cluster import is_cluster_file
from magnoliapitch.settings.cluster import load_cluster_settings


if TYPE_CHECKING:
    from collections.abc import Callable


LoadedT = TypeVar("LoadedT")

settings = App(name="settings", help="Check settings files.")


@settings.command
def check(file: Path) -> None:
    """Check a settings file without starting an instance.

    :param file: TOML settings file.
    """
    if is_cluster_file(file):
        _check_cluster(file)
        return
    loaded = read_settings(file)
    print(
        f"{file}: valid; instance {loaded.instance_id} in {loaded.zone}, "
        f"address {loaded.address}"
    )


def _check_cluster(file: Path) -> None:
    loaded = read_cluster_settings(file)
    print(
        f"{file}: valid; instance {loaded.instance_id} in {loaded.zone}, "
        f"callers at {loaded.listen.callers}, store {loaded.endpoints.store}"
    )


def read_cluster_settings(file: Path) -> ClusterSettings:
    """Read the settings of an instance that schedules jobs from a store.

    :raises CommandError: if the file cannot be read or is not valid.
    """
    return _load(load_cluster_settings, file)


def read_settings(file: Path) -> Settings:
    """Read the settings of an instance that follows the platform's log.

    :raises CommandError: if the file cannot be read or is not valid.
    """
    return _load(load_settings, file)


def _load(load: Callable[[Path], LoadedT], file: Path) -> LoadedT:
    try:
        return load(file)
    except InvalidSettingsError as error:
        raise CommandError(str(error), ExitCode.INVALID_FILE) from error
