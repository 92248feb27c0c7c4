"""How many cases a search draws."""

from __future__ import annotations

from hypothesis import settings


# Cases by hand for each one in CI.
SEARCH_FACTOR = 20


def search_settings(max_examples: int) -> settings:
    """Return the settings of a search.

    CI draws the same cases each time. With ``--hypothesis-profile=search``,
    many new ones are drawn, by ``--hypothesis-seed`` if it is given.

    :param max_examples: number of cases in CI.
    """
    if settings.get_current_profile_name() == "search":
        return settings(
            max_examples=SEARCH_FACTOR * max_examples,
            deadline=None,
            database=None,
            print_blob=True,
        )
    return settings(
        max_examples=max_examples,
        derandomize=True,
        deadline=None,
        database=None,
    )


__all__ = ["search_settings"]
