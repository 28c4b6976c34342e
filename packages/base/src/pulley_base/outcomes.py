"""The values that report a request's outcome and its reason to a caller."""

from enum import StrEnum


class Outcome(StrEnum):
    """What is known of a request that got no complete answer.

    NOT_RUN: it was not run. UNKNOWN: it may have run. PARTIAL: its answer began
    and was cut.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    PARTIAL = "partial"


class Reason(StrEnum):
    """Why a request was refused, retried or cut; also a label of the counters."""

    AT_BOUND = "at-bound"
    BAD_REQUEST = "bad-request"
    BAD_TOKEN = "bad-token"
    BATCH_SHARE = "batch-share"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TOO_SLOW = "body-too-slow"
    CALLER_GONE = "caller-gone"
    CLAIM_BUDGET = "claim-budget"
    CONFIGURATION_STALE = "configuration-stale"
    CONNECTION_LOST = "connection-lost"
    DEADLINE = "deadline"
    DRAINING = "draining"
    ENDPOINT_BUSY = "endpoint-busy"
    ENDPOINT_CLOSED = "endpoint-closed"
    ENGINE_CRASHED = "engine-crashed"
    ENGINE_ERROR = "engine-error"
    ENGINE_UNREACHABLE = "engine-unreachable"
    FOREIGN_ANSWER = "foreign-answer"
    HEAD_TOO_LARGE = "head-too-large"
    HEAD_TOO_SLOW = "head-too-slow"
    HELD = "held"
    KEY_EXPIRED = "key-expired"
    KEY_IN_FLIGHT = "key-in-flight"
    KEY_REUSED = "key-reused"
    KEY_SPENT = "key-spent"
    KEY_VOIDED = "key-voided"
    NO_MEMORY = "no-memory"
    NO_ENDPOINT = "no-endpoint"
    NO_ROUTE = "no-route"
    NO_TOKEN = "no-token"
    NOT_READY = "not-ready"
    QUARANTINED = "quarantined"
    QUEUE_FULL = "queue-full"
    REDIRECTED = "redirected"
    RETRY_BUDGET = "retry-budget"
    STALLED = "stalled"
    STORE_DOWN = "store-down"
    TEAM_LIMIT = "team-limit"
    TOO_MANY_HOPS = "too-many-hops"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_ATTEMPT = "unknown-attempt"
    WINDOW_PASSED = "window-passed"
    WRONG_ENDPOINT = "wrong-endpoint"
    WRONG_SERVICE = "wrong-service"
