from __future__ import annotations

from magnoliapitch.control.worker_tokens import WorkerTokens
from magnoliapitch.control.worker_tokens import next_token
from magnoliapitch.ledger.records import TOKENS_PER_EPOCH


EPOCH = 3 * TOKENS_PER_EPOCH


# Incident TWICE: an order to the former incarnation had the same token.
def test_each_listed_incarnation_has_a_higher_token() -> None:
    tokens = WorkerTokens(EPOCH)
    for number, worker_id in enumerate(("w@5", "w@6", "w@5", "w@9")):
        tokens.record_listed(worker_id)
        assert tokens.token(worker_id) == EPOCH + number
    tokens.record_listed("w@9")
    assert tokens.token("w@9") == EPOCH + 3
    assert tokens.token("other@9") == EPOCH


# The token after the last one of an epoch may be the next leader's.
def test_the_last_token_of_an_epoch_is_not_raised() -> None:
    last = EPOCH + TOKENS_PER_EPOCH - 1
    assert next_token(last - 1) == last
    assert next_token(last) == last
