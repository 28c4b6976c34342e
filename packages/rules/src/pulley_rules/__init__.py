"""Parse, check, format, merge and look up the operators' rules."""

from .deltas import (
    Delta,
    Edit,
    apply_delta,
    digest_text,
    join_lines,
    make_delta,
    split_text,
)
from .errors import Problem, RulesError
from .formats import format_rule, format_text
from .lookups import (
    Call,
    Placement,
    find_call,
    find_placement,
    find_team,
    is_drained,
    is_held,
)
from .merges import Merge, MergeConflict, merge_texts
from .models import (
    CallRule,
    DrainRule,
    HoldRule,
    PinRule,
    Priority,
    Rules,
    ServiceRule,
    Subject,
    TeamRule,
)
from .parsers import parse_rules

__all__ = [
    "Call",
    "CallRule",
    "Delta",
    "DrainRule",
    "Edit",
    "HoldRule",
    "Merge",
    "MergeConflict",
    "PinRule",
    "Placement",
    "Priority",
    "Problem",
    "Rules",
    "RulesError",
    "ServiceRule",
    "Subject",
    "TeamRule",
    "apply_delta",
    "digest_text",
    "find_call",
    "find_placement",
    "find_team",
    "format_rule",
    "format_text",
    "is_drained",
    "is_held",
    "join_lines",
    "make_delta",
    "merge_texts",
    "parse_rules",
    "split_text",
]
