"""Plans that carry everything a confirmation needs.

Entry hosts keep nothing and a confirmation may reach another host than the one
that made the plan, so the whole plan goes to the operator and comes back.  Its
identifier is a digest keyed with the operators' access key, which every entry
host has: a plan that was altered on the way is refused.
"""

import hashlib
import hmac
import json
from typing import Any

from ..errors import ErrorKind, RequestError
from ..fields import invalid
from ..misc import new_token, same_secret
from .draft import Draft, View, draft_for
from .messages import Plan, parse_intent

__all__ = ["make_plan", "read_plan"]

ID_CHARS = 32
MAX_MARKS = 16


def make_plan(body: Any, view: View, access_key: str) -> Plan:
    """Return the plan for an intent's JSON form.

    Raises:
        RequestError: the intent is malformed or names what is not there.
    """
    draft = draft_for(parse_intent(body), view)
    base = view.state.get(draft.kind, draft.name)
    base_value = None if base is None else base.value
    value = dict(draft.value)
    marks = list((base_value or {}).get("marks", ()))
    value["marks"] = [*marks, new_token()][-MAX_MARKS:]
    plan = Plan(
        plan_id="",
        intent=body,
        object_kind=draft.kind,
        object_name=draft.name,
        base_version=0 if base is None else base.version,
        value=value,
        changes=_changes(base_value or {}, draft),
        steps=draft.steps,
        allowed=draft.refusal is None,
        refusal=str(draft.refusal or ""),
        refusal_detail=draft.detail,
    )
    plan["plan_id"] = _digest(plan, access_key)
    return plan


def read_plan(body: Any, plan_id: str, access_key: str) -> Plan:
    """Check that a plan came from one of this system's entry hosts, unaltered.

    Raises:
        RequestError: INVALID_INTENT where the content does not fit its identifier,
            and the plan's own refusal where the plan was refused.
    """
    if not isinstance(body, dict) or set(body) != set(Plan.__annotations__):
        raise invalid("a confirmation must carry the whole plan")
    plan = Plan(**body)
    if not same_secret(_digest(plan, access_key), plan_id):
        raise invalid("the plan was altered, or made with another access key")
    if not plan["allowed"]:
        raise RequestError(ErrorKind(plan["refusal"]), plan["refusal_detail"])
    return plan


def _digest(plan: Plan, access_key: str) -> str:
    content = {key: value for key, value in plan.items() if key != "plan_id"}
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    digest = hmac.new(access_key.encode(), text.encode(), hashlib.sha256)
    return digest.hexdigest()[:ID_CHARS]


def _changes(base: dict[str, Any], draft: Draft) -> list[str]:
    """Say in one line for each field what it was and what it becomes."""
    lines = []
    for key in sorted((base.keys() | draft.value.keys()) - {"marks"}):
        old = base.get(key)
        new = draft.value.get(key)
        if old == new:
            continue
        if isinstance(old, list) and isinstance(new, list):
            lines.extend(_list_changes(key, old, new))
        else:
            lines.append(f"{key}: {_text(old)} -> {_text(new)}")
    return lines


def _list_changes(key: str, old: list[Any], new: list[Any]) -> list[str]:
    lines = [f"{key}: - {_text(item)}" for item in old if item not in new]
    lines.extend(f"{key}: + {_text(item)}" for item in new if item not in old)
    return lines


def _text(value: Any) -> str:
    return "none" if value is None else json.dumps(value, sort_keys=True)
