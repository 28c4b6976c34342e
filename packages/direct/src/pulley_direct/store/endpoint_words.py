"""The store's words about endpoints, each applied if it is the newest one."""

import logging

from pulley_base import log_event

from ..endpoints.cold_starts import hear_of_cold
from ..endpoints.departures import (
    drop_endpoint,
    is_doubtful,
    is_leaving,
    lapse_grace_end_ms,
    record_leaving,
)
from ..state.fleet_views import FleetView, LastWord, LeavingSource
from ..state.models import Endpoint

logger = logging.getLogger(__name__)


def is_newest_word(
    fleet_view: FleetView,
    name: str,
    revision: int,
    removed_started_ms: int | None = None,
) -> bool:
    """Check that a word of the store about an endpoint is the newest; remember it.

    A word without a revision counts as the newest, as does the first one after the
    store was restored. ``removed_started_ms`` is the start of an endpoint that the word
    removes, None if it lists one.
    """
    last = fleet_view.last_words.get(name)
    n_restores = fleet_view.n_restores
    same_history = last is not None and last.n_restores == n_restores
    if same_history and 0 < revision < last.revision:
        log_event(
            logger,
            "older_word_ignored",
            endpoint=name,
            revision=revision,
            known_revision=last.revision,
        )
        return False
    fleet_view.last_words[name] = LastWord(
        revision, fleet_view.clock.now_ms(), n_restores, removed_started_ms
    )
    return True


def list_endpoint(fleet_view: FleetView, endpoint: Endpoint) -> None:
    """Add or update an endpoint's entry, unless it is older than what is known.

    One that may be of a restored copy is taken with a later read. That an endpoint
    leaves is taken from an older entry as well.
    """
    if endpoint.draining:
        record_leaving(fleet_view, endpoint, LeavingSource.STORE)
    if is_doubtful(fleet_view, endpoint):
        fleet_view.has_doubts = True
        log_event(
            logger,
            "restored_entry_doubted",
            endpoint=endpoint.name,
            revision=endpoint.revision,
        )
        return
    if not is_newest_word(fleet_view, endpoint.name, endpoint.revision):
        return
    known = fleet_view.endpoints.get(endpoint.name)
    hear_of_cold(fleet_view, endpoint, known)
    fleet_view.n_changes += 1
    fleet_view.endpoints[endpoint.name] = endpoint
    fleet_view.lapsed.pop(endpoint.name, None)
    if not is_leaving(fleet_view, endpoint):
        fleet_view.departed.pop(endpoint.name, None)
    if known is None or known.draining != endpoint.draining:
        log_event(
            logger,
            "endpoint_listed",
            endpoint=endpoint.name,
            service=endpoint.service,
            address=endpoint.address,
            draining=endpoint.draining,
            revision=endpoint.revision,
        )


def remove_endpoint(fleet_view: FleetView, name: str, revision: int) -> None:
    """Remove an endpoint, or keep it for a grace period after an outage of the store.

    An endpoint that leaves gets no grace period.
    """
    endpoint = fleet_view.endpoints.get(name)
    started_ms = 0 if endpoint is None else endpoint.started_ms
    if not is_newest_word(fleet_view, name, revision, started_ms):
        return
    if endpoint is None:
        return
    until_ms = lapse_grace_end_ms(fleet_view)
    if until_ms is not None and not is_leaving(fleet_view, endpoint):
        fleet_view.lapsed[name] = until_ms
    else:
        drop_endpoint(fleet_view, endpoint)
    log_event(
        logger,
        "endpoint_removed",
        endpoint=name,
        kept_until_ms=until_ms,
        revision=revision,
    )
