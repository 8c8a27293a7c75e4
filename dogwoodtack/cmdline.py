"""Command-line tool for operators."""

import configparser
import enum
import json
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from absl import flags

from .api import ApiError, OperatorApi, Unreachable, fetch_placement
from .burn import PlotUnavailable, draw_report, format_report
from .entry.explain import explain_request
from .errors import DogwoodtackError, ErrorKind
from .intents import Plan
from .jsontext import parse_json
from .misc import parse_address

__all__ = ["COMMANDS", "Command", "Context", "ExitCode", "UsageError", "main", "run"]

CONFIG_SECTION = "operator"
CONFIG_KEYS = ("addresses", "access_key", "plans_dir")
ACCESS_KEY_VARIABLE = "DOGWOODTACK_ACCESS_KEY"

FLAGS = flags.FlagValues()
FLAGS.set_gnu_getopt(True)
flags.DEFINE_string(
    "config",
    None,
    "An INI file with a section [operator] and the keys addresses, access_key and "
    "plans_dir. Flags take precedence over it.",
    flag_values=FLAGS,
)
flags.DEFINE_list(
    "addresses",
    None,
    "Operator addresses, host:port,host:port; they are tried in turn.",
    flag_values=FLAGS,
)
flags.DEFINE_string(
    "access_key",
    None,
    f"The operators' access key; better in the file or in ${ACCESS_KEY_VARIABLE}.",
    flag_values=FLAGS,
)
flags.DEFINE_string(
    "plans_dir",
    None,
    "Where submit keeps plans for show and confirm; default: ./plans.",
    flag_values=FLAGS,
)
flags.DEFINE_float(
    "timeout_s", 30.0, "Seconds to wait for one entry host.", 0.1, flag_values=FLAGS
)
flags.DEFINE_bool("json", False, "Print JSON.", flag_values=FLAGS)
flags.DEFINE_bool(
    "yes", False, "Confirm without asking on the terminal.", flag_values=FLAGS
)
flags.DEFINE_string("plot", None, "A picture file for burn.", flag_values=FLAGS)
flags.DEFINE_string(
    "organisation",
    "",
    "For place: name of the organisation that sends the request.",
    flag_values=FLAGS,
)
flags.DEFINE_bool("help", False, "Show this help.", short_name="h", flag_values=FLAGS)


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN_OUTCOME = 4
    UNREACHABLE = 5


_EXIT_CODES = {
    ErrorKind.CONFLICT: ExitCode.CONFLICT,
    ErrorKind.NOT_CONFIRMED: ExitCode.UNKNOWN_OUTCOME,
    ErrorKind.INTERNAL: ExitCode.UNKNOWN_OUTCOME,
    ErrorKind.STORE_UNAVAILABLE: ExitCode.UNREACHABLE,
}


class UsageError(DogwoodtackError):
    """The command line or the tool's settings are invalid."""


class Context(NamedTuple):
    """Arguments and settings of a command.

    Attributes:
        api: the operators' client.
        args: the command's own arguments.
        plans_dir: directory of saved plans.
        is_json: whether to print JSON.
        is_yes: whether to confirm without a prompt.
        plot: image file that burn writes, None for none.
        organisation: the organisation that place asks for, empty for none.
        timeout_s: seconds to wait for one entry host.
    """

    api: OperatorApi
    args: list[str]
    plans_dir: Path
    is_json: bool
    is_yes: bool
    plot: str | None
    organisation: str = ""
    timeout_s: float = 30.0


class Command(NamedTuple):
    """Definition of a subcommand.

    Attributes:
        usage: its name and arguments.
        text: one line of help.
        arg_counts: allowed numbers of arguments.
        act: runs it, prints the result and returns the exit code.
        is_offline: whether it runs without the operators' address and key.
    """

    usage: str
    text: str
    arg_counts: tuple[int, ...]
    act: Callable[[Context], ExitCode]
    is_offline: bool = False


def submit(ctx: Context) -> ExitCode:
    """Send an intent, and save and print the plan in the reply."""
    plan = ctx.api.submit(_read_json(ctx.args[0]))
    path = ctx.plans_dir / f"{plan['plan_id']}.json"
    try:
        ctx.plans_dir.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(plan, indent=2) + "\n")
    except OSError as exc:
        raise UsageError(f"cannot save the plan: {exc}") from exc
    _print(ctx, plan, format_plan(plan))
    return ExitCode.OK if plan["allowed"] else ExitCode.REFUSED


def show(ctx: Context) -> ExitCode:
    """Print a saved plan."""
    plan = _load_plan(ctx)
    _print(ctx, plan, format_plan(plan))
    return ExitCode.OK


def confirm(ctx: Context) -> ExitCode:
    """Apply a saved plan."""
    plan = _load_plan(ctx)
    if not ctx.is_yes and not _ask_confirmation(plan):
        return ExitCode.REFUSED
    receipt = ctx.api.confirm(plan)
    text = (
        f"accepted: {receipt['object_kind']} {receipt['object_name']} "
        f"is at version {receipt['version']}"
    )
    _print(ctx, receipt, text)
    return ExitCode.OK


def status(ctx: Context) -> ExitCode:
    """Print the status of one entry host."""
    reply = ctx.api.status()
    _print(ctx, reply, format_fields(reply))
    return ExitCode.OK


def explain(ctx: Context) -> ExitCode:
    """Print why an instance gets its requests, or a request got its response."""
    subject, *names = ctx.args
    if (subject, len(names)) == ("instance", 2):
        reply = ctx.api.explain_instance(*names)
    elif (subject, len(names)) == ("request", 1):
        reply = ctx.api.explain_request(names[0])
    else:
        raise UsageError("explain takes: instance SERVICE INSTANCE, request ID")
    _print(ctx, reply, format_fields(reply))
    return ExitCode.OK


def trace(ctx: Context) -> ExitCode:
    """Print why a request got its response, from collected logs."""
    request_id, source = ctx.args
    try:
        text = sys.stdin.read() if source == "-" else Path(source).read_text()
    except OSError as exc:
        raise UsageError(f"{source}: {exc}") from exc
    explanation = explain_request(text.splitlines(), request_id)
    if explanation is None:
        print(f"no log line for request {request_id}", file=sys.stderr)
        return ExitCode.REFUSED
    _print(ctx, explanation._asdict(), explanation.text())
    return ExitCode.OK


def burn(ctx: Context) -> ExitCode:
    """Print service-level burn, merged over the given entry hosts."""
    fleet_burn = ctx.api.burn()
    lines = [
        format_report(fleet_burn.report),
        f"from {fleet_burn.answered} entry hosts",
    ]
    if fleet_burn.silent:
        lines.append(f"no answer from {', '.join(fleet_burn.silent)}")
    if ctx.plot:
        try:
            draw_report(fleet_burn.report, ctx.plot)
        except (OSError, PlotUnavailable) as exc:
            raise UsageError(f"{ctx.plot}: {exc}") from exc
        lines.append(f"plot: {ctx.plot}")
    _print(ctx, fleet_burn._asdict(), "\n".join(lines))
    return ExitCode.OK


def place(ctx: Context) -> ExitCode:
    """Print where one entry host would send a request now, without sending it."""
    address_text, *request = ctx.args
    try:
        address = parse_address(address_text, allow_name=True)
    except ValueError as exc:
        raise UsageError(f"{address_text}: {exc}") from exc
    reply = fetch_placement(address, *request, ctx.organisation, ctx.timeout_s)
    _print(ctx, reply, format_placement(reply))
    return ExitCode.OK


COMMANDS: dict[str, Command] = {
    "submit": Command(
        "submit FILE|-", "Send an intent (JSON) and save its plan.", (1,), submit
    ),
    "show": Command("show PLAN", "Print a saved plan.", (1,), show),
    "confirm": Command("confirm PLAN [--yes]", "Apply a saved plan.", (1,), confirm),
    "status": Command("status", "Print the status of one entry host.", (0,), status),
    "explain": Command(
        "explain instance SERVICE INSTANCE | request ID",
        "Show why an instance gets its requests, or a request got its response.",
        (2, 3),
        explain,
    ),
    "trace": Command(
        "trace ID FILE|-",
        "Show from collected logs why a request got its response.",
        (2,),
        trace,
        is_offline=True,
    ),
    "burn": Command(
        "burn [--plot FILE]",
        "Print service-level burn, merged over all hosts.",
        (0,),
        burn,
    ),
    "place": Command(
        "place HOST:PORT METHOD URL-HOST TARGET [--organisation=NAME]",
        "Show where an entry host would send a request now; HOST:PORT is its relay.",
        (4,),
        place,
        is_offline=True,
    ),
}


def format_plan(plan: Plan) -> str:
    """Return a plan as text for people."""
    name = f"{plan['object_kind']} {plan['object_name']}"
    lines = [f"plan {plan['plan_id']}: {name}, made on version {plan['base_version']}"]
    lines.append("changes:")
    lines.extend(f"  {line}" for line in plan["changes"] or ["none"])
    lines.append("steps:")
    for number, step in enumerate(plan["steps"], 1):
        lines.append(f"  {number}. {step['text']}")
        if step["capacity"] is not None:
            lines.append(
                f"     instances in work: {step['capacity']}, floor: {step['floor']}"
            )
    if plan["allowed"]:
        lines.append("allowed; nothing is in force before:")
        lines.append(f"  dogwoodtack confirm {plan['plan_id']}")
    else:
        lines.append(f"refused ({plan['refusal']}): {plan['refusal_detail']}")
    return "\n".join(lines)


def format_fields(value: Any, indent: str = "") -> str:
    """Return a JSON object as `name: value` lines; nested objects are indented."""
    lines = []
    for key, item in value.items():
        if isinstance(item, dict) and item:
            lines.append(f"{indent}{key}:")
            lines.append(format_fields(item, indent + "  "))
        else:
            text = item if isinstance(item, str) else json.dumps(item)
            lines.append(f"{indent}{key}: {text}")
    return "\n".join(lines)


def format_placement(reply: dict[str, Any]) -> str:
    """Return the reply of an entry host to `place` as text for people."""
    asked = reply["question"]
    lines = [f"{asked['method']} {asked['host']}{asked['target']}: {reply['outcome']}"]
    if reply["instance"]:
        lines[0] += f" at {reply['instance']}"
    if reply["reason"]:
        lines[0] += f" ({reply['reason']})"
    if not reply["route"]:
        return "\n".join(lines)
    shares = ", ".join(f"{one['service']} {one['weight']}" for one in reply["services"])
    lines += [
        f"route: {reply['route']}, kind {reply['kind']}, priority {reply['priority']}, "
        f"repeats: {reply['repeats']}, configuration {reply['version']}",
        f"services and weights: {shares or 'none'}",
    ]
    if reply["organisation_priority"] is not None:
        lines.append(
            f"organisation: {asked['organisation']}, "
            f"priority {reply['organisation_priority']}"
        )
    if reply["rate_limit"] is not None:
        inputs = ", ".join(f"{key} {one}" for key, one in reply["rate_limit"].items())
        chance = reply["admission_chance"]
        lines.append(f"rate limit: admitted with probability {chance} ({inputs})")
    if reply["service"]:
        lines += _placement_lines(reply)
    return "\n".join(lines)


def _placement_lines(reply: dict[str, Any]) -> list[str]:
    wait_s = reply["expected_wait_s"]
    lines = [
        f"service: {reply['service']}, balancing {reply['balancing']}, "
        f"{reply['queue_length']} waiting, "
        f"expected wait {'unknown' if wait_s is None else f'{wait_s:.3f} s'}",
        "candidates, the first choice first:" if reply["candidates"] else "none listed",
    ]
    lines.extend(
        f"  {one['instance']} in {one['zone']}: {one['in_flight']}/{one['slots']}, "
        f"unhealthy {one['unhealthy_probability']:.3f}, "
        f"cost {one['expected_cost']:.3f}"
        f"{'' if one['has_free_slot'] else ', no free slot'}"
        for one in reply["candidates"]
    )
    return lines


def _print(ctx: Context, value: Any, text: str) -> None:
    print(json.dumps(value, indent=2) if ctx.is_json else text)


def _ask_confirmation(plan: Plan) -> bool:
    if not sys.stdin.isatty():
        raise UsageError("confirm needs a terminal for its prompt, or --yes")
    print(format_plan(plan))
    return input("confirm? [y/N] ").strip().lower() in ("y", "yes")


def _read_json(source: str) -> Any:
    try:
        text = sys.stdin.read() if source == "-" else Path(source).read_text()
        return parse_json(text)
    except (OSError, ValueError) as exc:
        raise UsageError(f"{source}: {exc}") from exc


def _load_plan(ctx: Context) -> Plan:
    name = ctx.args[0]
    path = Path(name) if os.sep in name else ctx.plans_dir / f"{name}.json"
    plan = _read_json(str(path))
    if not isinstance(plan, dict) or set(plan) != set(Plan.__annotations__):
        raise UsageError(f"{path} is not a plan")
    return plan


def _load_config(path: str | None) -> dict[str, str]:
    if path is None:
        return {}
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
        values = dict(parser[CONFIG_SECTION])
    except (OSError, KeyError, configparser.Error) as exc:
        raise UsageError(f"{path}: cannot read section [{CONFIG_SECTION}]") from exc
    unknown = set(values).difference(CONFIG_KEYS)
    if unknown:
        raise UsageError(
            f"{path}: [{CONFIG_SECTION}] {sorted(unknown)[0]}: unknown setting; "
            f"allowed: {', '.join(CONFIG_KEYS)}"
        )
    return values


def _make_context(args: list[str], is_offline: bool) -> Context:
    if is_offline:
        api = OperatorApi([], "", FLAGS.timeout_s)
        return Context(
            api,
            args,
            Path("plans"),
            FLAGS.json,
            FLAGS.yes,
            FLAGS.plot,
            FLAGS.organisation,
            FLAGS.timeout_s,
        )
    cfg = _load_config(FLAGS.config)
    texts = FLAGS.addresses or cfg.get("addresses", "").replace(",", " ").split()
    key = FLAGS.access_key or os.environ.get(ACCESS_KEY_VARIABLE)
    key = key or cfg.get("access_key")
    if not texts or not key:
        raise UsageError(
            "addresses and access_key are required: set them by flags, by "
            f"--config FILE, or the key in ${ACCESS_KEY_VARIABLE}"
        )
    try:
        addresses = [parse_address(text, allow_name=True) for text in texts]
    except ValueError as exc:
        raise UsageError(f"addresses: {exc}") from exc
    plans_dir = Path(FLAGS.plans_dir or cfg.get("plans_dir", "plans"))
    api = OperatorApi(addresses, key, FLAGS.timeout_s)
    return Context(api, args, plans_dir, FLAGS.json, FLAGS.yes, FLAGS.plot)


def help_text() -> str:
    """Return the text of --help."""
    width = max(len(command.usage) for command in COMMANDS.values()) + 2
    lines = [
        "dogwoodtack: operators' tool for a fleet of proxies.",
        "",
        "usage: dogwoodtack [flags] COMMAND ...",
        "",
        "An intent is a JSON file, such as:",
        '  {"kind": "set-floor", "service": "jobtrack", "floor": 14}',
        "submit returns a plan; it takes effect only after confirm.",
        "",
        "commands:",
    ]
    for command in COMMANDS.values():
        lines.append(f"  {command.usage:{width}}{command.text}")
    lines += ["", "exit codes:"]
    for code in ExitCode:
        lines.append(f"  {code.value}  {code.name.lower().replace('_', ' ')}")
    lines += ["", "flags:", FLAGS.main_module_help() or FLAGS.get_help()]
    return "\n".join(lines)


def main(argv: list[str]) -> int:
    """Run one command and return the exit code."""
    args: list[str] = []
    try:
        args = FLAGS(argv)[1:]
        if FLAGS.help or args[:1] == ["help"]:
            print(help_text())
            return ExitCode.OK
        command = COMMANDS.get(args[0]) if args else None
        if command is None:
            raise UsageError(f"commands: {', '.join(COMMANDS)}; see --help")
        if len(args) - 1 not in command.arg_counts:
            raise UsageError(f"usage: dogwoodtack {command.usage}")
        return command.act(_make_context(args[1:], command.is_offline))
    except (UsageError, flags.Error) as exc:
        print(f"dogwoodtack: {exc}", file=sys.stderr)
        return ExitCode.USAGE
    except ApiError as exc:
        print(f"dogwoodtack: {exc.text} ({exc})", file=sys.stderr)
        return _EXIT_CODES.get(exc.kind, ExitCode.REFUSED)
    except Unreachable as exc:
        print(f"dogwoodtack: no entry host replied: {exc}", file=sys.stderr)
        is_unknown = exc.was_sent and args[0] == "confirm"
        return ExitCode.UNKNOWN_OUTCOME if is_unknown else ExitCode.UNREACHABLE


def run() -> None:
    """Run the tool as a program."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
