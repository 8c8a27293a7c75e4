"""Plans that carry everything a confirmation needs.

Entry hosts store no plans, and a confirmation may reach a host other than the one
that made the plan, so the complete plan goes to the operator and comes back. Its
identifier is a digest keyed with the operators' access key, which every entry
host has: a plan that was altered on the way is rejected.
"""

import hashlib
import hmac
import json
from typing import Any

from ..errors import ErrorKind, RequestError
from ..fields import invalid_intent
from ..misc import new_token, secrets_match
from .draft import Draft, FleetView, draft_for
from .messages import Plan, parse_intent

__all__ = ["make_plan", "verify_plan"]

PLAN_ID_CHARS = 32
MAX_MARKS = 16


def make_plan(body: Any, view: FleetView, access_key: str) -> Plan:
    """Return the plan for an intent.

    Args:
        body: the intent's JSON form.
        view: the configuration and fleet that the plan is based on.
        access_key: the operators' access key, which keys the plan's digest.

    Raises:
        RequestError: the intent is malformed or names something that does not exist.
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
        changes=_describe_changes(base_value or {}, draft),
        steps=draft.steps,
        allowed=draft.refusal is None,
        refusal=str(draft.refusal or ""),
        refusal_detail=draft.detail,
    )
    plan["plan_id"] = _digest(plan, access_key)
    return plan


def verify_plan(body: Any, plan_id: str, access_key: str) -> Plan:
    """Return a plan once its digest shows that an entry host made it, unaltered.

    Raises:
        RequestError: INVALID_INTENT if the content does not match the identifier;
            the plan's own refusal if the plan was refused.
    """
    if not isinstance(body, dict) or set(body) != set(Plan.__annotations__):
        raise invalid_intent("a confirmation must carry the whole plan")
    plan = Plan(**body)
    if not secrets_match(_digest(plan, access_key), plan_id):
        raise invalid_intent("the plan was altered, or made with another access key")
    if not plan["allowed"]:
        raise RequestError(ErrorKind(plan["refusal"]), plan["refusal_detail"])
    return plan


def _digest(plan: Plan, access_key: str) -> str:
    content = {key: value for key, value in plan.items() if key != "plan_id"}
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    digest = hmac.new(access_key.encode(), text.encode(), hashlib.sha256)
    return digest.hexdigest()[:PLAN_ID_CHARS]


def _describe_changes(base: dict[str, Any], draft: Draft) -> list[str]:
    """Describe the change of each field: its old and new value or list items."""
    lines = []
    for key in sorted((base.keys() | draft.value.keys()) - {"marks"}):
        old = base.get(key)
        new = draft.value.get(key)
        if old == new:
            continue
        if isinstance(old, list) and isinstance(new, list):
            lines.extend(_describe_list(key, old, new))
        else:
            lines.append(f"{key}: {_format_value(old)} -> {_format_value(new)}")
    return lines


def _describe_list(key: str, old: list[Any], new: list[Any]) -> list[str]:
    lines = [f"{key}: - {_format_value(item)}" for item in old if item not in new]
    lines.extend(f"{key}: + {_format_value(item)}" for item in new if item not in old)
    return lines


def _format_value(value: Any) -> str:
    return "none" if value is None else json.dumps(value, sort_keys=True)
