from __future__ import annotations

import io
import json
import re

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from magnoliapitch.event import configure_logging
from magnoliapitch.event import format_line
from magnoliapitch.event import log_event


PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"=]+)')
UNSAFE_VALUES = st.text() | st.sampled_from(
    ["", " ", "a=b", '"', "\\", "x\nevent=y", "\u2028", "\x7f", "\udc80"]
)


def parse_line(line: str) -> dict[str, str]:
    pairs = line.split("\n")[0]
    values = {}
    position = 0
    while position < len(pairs):
        match = PAIR.match(pairs, position)
        assert match, pairs[position:]
        text = match.group(2)
        values[match.group(1)] = (
            json.loads(text) if text.startswith('"') else text
        )
        position = match.end() + 1
    return values


@settings(derandomize=True, max_examples=300, database=None)
@given(
    st.dictionaries(
        st.sampled_from(["a", "b", "c"]), UNSAFE_VALUES, min_size=1
    )
)
def test_line_can_be_parsed_back_for_any_values(
    fields: dict[str, str],
) -> None:
    line = format_line(fields)
    assert line.isascii()
    assert line.isprintable()
    assert parse_line(line) == fields


def test_log_writes_an_error_into_a_single_line() -> None:
    stream = io.StringIO()
    configure_logging("entry-1", "xela-norte", stream=stream)
    try:
        raise ValueError("bad\nevent=forged")
    except ValueError as error:
        log_event("step-failed", loop="jobs", error=error, body=b"\xff\n")
    lines = stream.getvalue().splitlines()
    assert len(lines) == 1
    fields = parse_line(lines[0])
    assert list(fields)[:5] == ["time", "level", "event", "instance", "zone"]
    assert fields["event"] == "step-failed"
    assert fields["level"] == "error"
    assert fields["body"] == "\\xff\n"
    assert "ValueError: bad" in fields["traceback"]
