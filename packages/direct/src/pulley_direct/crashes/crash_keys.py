"""Keys by which requests are held against crashes: their prompt's parts, themselves."""

from hashlib import blake2b

from ..state.jobs import Job
from ..state.models import Endpoint

# Longer digests, longer prompts and longer names are truncated.
MAX_DIGEST_LENGTH = 64
MAX_KEY_PARTS = 32
MAX_TEAM_LENGTH = 200
REQUEST_DIGEST_BYTES = 12


def part_keys(job: Job) -> list[str]:
    """Return the keys of a prompt's shared parts, which are all but the last one."""
    shared = job.call.parts[:-1][:MAX_KEY_PARTS]
    return [f"{job.service}/part/{one.digest[:MAX_DIGEST_LENGTH]}" for one in shared]


def team_name(job: Job) -> str:
    """Return the name of the team that sent a job's request, empty without one."""
    return "" if job.team is None else job.team.name[:MAX_TEAM_LENGTH]


def request_key(job: Job) -> str:
    """Return the key of a whole request, the same each time that it is repeated."""
    team = team_name(job)
    parts = ",".join(part.digest for part in job.call.parts)
    digest = blake2b(digest_size=REQUEST_DIGEST_BYTES)
    for text in (team, job.call.method, job.call.host, job.call.target, parts):
        digest.update(text.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(job.body)
    return f"{request_key_prefix(job)}{digest.hexdigest()}"


def request_key_prefix(job: Job) -> str:
    """Return how the keys of whole requests to a job's service begin."""
    return f"{job.service}/request/"


def request_hash(job: Job) -> int:
    """Return a hash of a whole request, at less cost than its key."""
    call = job.call
    where = (job.service, team_name(job), call.method, call.host, call.target)
    return hash((*where, call.parts, job.body))


def crash_id(endpoint: Endpoint) -> str:
    """Return the id of an endpoint's crash: its incarnation has only one."""
    return f"{endpoint.name}/{endpoint.started_ms}"
