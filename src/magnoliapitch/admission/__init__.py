"""Admission of jobs under overload: pure decisions, without network I/O."""

from __future__ import annotations

from magnoliapitch.admission.decision import AgedFigures
from magnoliapitch.admission.decision import Rejection
from magnoliapitch.admission.decision import decide
from magnoliapitch.admission.figures import LoadFigures
from magnoliapitch.admission.figures import QueueLoad
from magnoliapitch.admission.figures import ServiceCapacity
from magnoliapitch.admission.figures import SizedWait
from magnoliapitch.admission.figures import decode_figures
from magnoliapitch.admission.figures import encode_figures
from magnoliapitch.admission.figures import limited_figures


__all__ = [
    "AgedFigures",
    "LoadFigures",
    "QueueLoad",
    "Rejection",
    "ServiceCapacity",
    "SizedWait",
    "decide",
    "decode_figures",
    "encode_figures",
    "limited_figures",
]
