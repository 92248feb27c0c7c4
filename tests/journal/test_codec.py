from __future__ import annotations

import orjson

from magnoliapitch.catalogue.entry import CatalogueEntry
from magnoliapitch.catalogue.entry import WorkClass
from magnoliapitch.journal.codec import decode_record
from magnoliapitch.journal.codec import encode_record
from magnoliapitch.journal.record import CataloguePut


def test_codec_names_every_field_of_nested_values() -> None:
    entry = CatalogueEntry("seat-check", "clubs", WorkClass.URGENT)
    change = CataloguePut(entry, 0)
    data = encode_record((change,), "writer", 1)
    (fields,) = orjson.loads(data)["entries"]
    assert fields["entry"]["limits"]["share"] == 1
    assert decode_record(data).entries == (change,)
