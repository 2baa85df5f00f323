"""Parser of the operators' language: converts text to typed commands.

The grammar is in `language.lark`.  A syntax error marks the position of the
first unexpected word and lists what was expected there.
"""

from functools import cache
from importlib import resources
from typing import Any

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import (
    UnexpectedCharacters,
    UnexpectedEOF,
    UnexpectedInput,
    UnexpectedToken,
    VisitError,
)

from berylspool.exception import CommandError, CommandSyntaxError
from berylspool.version import operation as op
from berylspool.version.configuration import (
    Limits,
    Upstream,
    UpstreamState,
    Version,
    ZoneState,
)
from berylspool.version.operator_command import (
    AddControl,
    ChangeConfiguration,
    Command,
    Condition,
    RemoveControl,
    ReplaceControl,
    Show,
)
from berylspool.version.revision import change_limits

__all__ = ["expected_words", "parse_command"]

SECONDS_BY_UNIT = {"s": 1.0, "min": 60.0, "h": 3600.0}


def parse_command(text: str) -> Command:
    """Parse one command, or several changes separated by `;`.

    Changes in one text are applied together.

    Args:
        text: Command as an operator writes it.

    Returns:
        The typed command.

    Raises:
        CommandSyntaxError: The text does not follow the grammar; the
            message marks the unexpected word.
        CommandError: A value is out of range.

    Examples:
        >>> parse_command("show zones where state = out").conditions
        (Condition(column='state', operator='=', value='out'),)
        >>> parse_command("zone derby out").operations
        (SetZone(name='derby', state=<ZoneState.OUT: 'out'>),)
    """
    try:
        return CommandTransformer().transform(_parser().parse(text))
    except UnexpectedInput as error:
        raise CommandSyntaxError(_describe_syntax_error(text, error)) from error
    except VisitError as error:
        raise CommandError(str(error.orig_exc)) from error


def expected_words(text: str) -> list[str]:
    """Return the words that may follow a text, for command-line completion.

    Examples:
        >>> "zones" in expected_words("show ")
        True
    """
    try:
        _parser().parse(text + " \0")
    except UnexpectedInput as error:
        return _expected_words(error)
    return []


@cache
def _parser() -> Lark:
    package = resources.files("berylspool.version")
    grammar = package.joinpath("language.lark").read_text(encoding="utf-8")
    return Lark(grammar, parser="lalr")


WORDS_BY_TERMINAL = {
    "NAME": ["a name"],
    "NUMBER": ["a number"],
    "INTEGER": ["a whole number"],
    "DURATION": ["a duration such as 90s"],
    "ADDRESS": ["an address such as 10.0.0.1:80"],
    "OPERATOR": ["=", "!=", "~"],
    "SUBJECT": [
        "services",
        "zones",
        "versions",
        "upstreams",
        "moves",
        "members",
        "limits",
        "history",
        "controls",
        "routes",
        "status",
    ],
    "LIMIT": ["slots", "connections", "cold_slots", "ramp_s"],
    "$END": ["the end"],
    "SEMICOLON": [";"],
    "COMMA": [","],
    "EQUAL": ["="],
}


def _expected_words(error: UnexpectedInput) -> list[str]:
    match error:
        case UnexpectedToken():
            terminals = error.accepts or error.expected
        case UnexpectedCharacters():
            terminals = error.allowed
        case UnexpectedEOF():
            terminals = set(error.expected)
        case _:
            terminals = set()
    words: set[str] = set()
    for terminal in terminals or ():
        name = str(terminal)
        words.update(WORDS_BY_TERMINAL.get(name, [name.lower()]))
    return sorted(words)


def _describe_syntax_error(text: str, error: UnexpectedInput) -> str:
    column = getattr(error, "column", -1)
    offset = column - 1 if column and column > 0 else len(text)
    expected = ", ".join(_expected_words(error))
    marker = " " * offset + "^"
    return f"expected {expected}\n{text}\n{marker}"


def _parse_duration_s(duration: str) -> float:
    for unit in ("min", "s", "h"):
        if duration.endswith(unit):
            return float(duration.removesuffix(unit)) * SECONDS_BY_UNIT[unit]
    raise CommandError(f"duration {duration!r} has no unit s, min or h")


@v_args(inline=True)
class CommandTransformer(Transformer):
    """Transforms a parse tree into a typed command.

    Each method handles the grammar rule or alias of the same name.
    """

    def start(self, *items: Any) -> Command:
        """Return the command; changes are combined into one command."""
        if isinstance(items[0], op.Operation):
            return ChangeConfiguration(tuple(items))
        return items[0]

    def show(self, subject: Token, *conditions: Any) -> Show:
        """Return the command that shows rows."""
        return Show(str(subject), tuple(c for c in conditions if c))

    def condition(self, column: Token, operator: Token, value: str):
        """Return a filter on one column."""
        return Condition(str(column), str(operator), value)

    def value(self, token: Token) -> str:
        """Return the text of a value."""
        return str(token)

    def names(self, *tokens: Token) -> tuple[str, ...]:
        """Return a tuple of names."""
        return tuple(map(str, tokens))

    def zones(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Return the names of zones."""
        return names

    def limit(self, name: Token, value: Token) -> tuple[str, float]:
        """Return the name and the value of one limit."""
        return str(name), float(value)

    def limits(self, *pairs: tuple[str, float]) -> Limits:
        """Return limits, with defaults for those that are not named."""
        return change_limits(Limits(), dict(pairs))

    def plan(self, name: Token, partition: Token, services: tuple[str, ...]):
        """Return a version with its partition map."""
        return Version(str(name), int(partition), services)

    def create_zone(self, name: Token) -> op.Operation:
        """Return the operation that creates a zone."""
        return op.CreateZone(str(name))

    def zone_out(self, name: Token) -> op.Operation:
        """Return the operation that takes a zone out of service."""
        return op.SetZone(str(name), ZoneState.OUT)

    def zone_in(self, name: Token) -> op.Operation:
        """Return the operation that returns a zone to service."""
        return op.SetZone(str(name), ZoneState.IN)

    def create_service(self, name: Token, zones: Any, limits: Any):
        """Return the operation that defines a service."""
        return op.CreateService(str(name), zones or (), limits or Limits())

    def set_zones(self, name: Token, zones: Any) -> op.Operation:
        """Return the operation that sets the zones of a service."""
        chosen = () if isinstance(zones, Token) else zones
        return op.SetServiceZones(str(name), chosen)

    def set_limits(self, name: Token, *pairs: Any) -> op.Operation:
        """Return the operation that sets limits of a service."""
        return op.SetLimits(str(name), dict(pairs))

    def add_upstream(
        self,
        id: Token,
        service: Token,
        address: Token,
        zone: Token,
        version: Token,
    ) -> op.Operation:
        """Return the operation that adds an upstream to a service."""
        host, _, port = address.rpartition(":")
        upstream = Upstream(str(id), host, int(port), str(zone), str(version))
        return op.AddUpstream(str(service), upstream)

    def drain_upstream(self, id: Token) -> op.Operation:
        """Return the operation that drains an upstream."""
        return op.SetUpstream(str(id), UpstreamState.LEAVING)

    def restore_upstream(self, id: Token) -> op.Operation:
        """Return the operation that returns an upstream to service."""
        return op.SetUpstream(str(id), UpstreamState.SERVING)

    def remove_upstream(self, id: Token) -> op.Operation:
        """Return the operation that removes an upstream."""
        return op.RemoveUpstream(str(id))

    def create_route(self, name: Token, version: Version) -> op.Operation:
        """Return the operation that defines a route."""
        return op.CreateRoute(str(name), version)

    def add_version(self, route: Token, version: Version) -> op.Operation:
        """Return the operation that adds a version to a route."""
        return op.AddVersion(str(route), version)

    def remove_version(self, version: Token, route: Token) -> op.Operation:
        """Return the operation that removes a version."""
        return op.RemoveVersion(str(route), str(version))

    def start_move(self, route: Token, version: Token, duration: Token):
        """Return the operation that starts a move."""
        return op.StartMove(
            str(route), str(version), _parse_duration_s(duration)
        )

    def pause_move(self, route: Token) -> op.Operation:
        """Return the operation that pauses a move."""
        return op.PauseMove(str(route))

    def resume_move(self, route: Token) -> op.Operation:
        """Return the operation that resumes a move."""
        return op.ResumeMove(str(route))

    def finish_move(self, route: Token) -> op.Operation:
        """Return the operation that finishes a move."""
        return op.FinishMove(str(route))

    def take_back_move(self, route: Token) -> op.Operation:
        """Return the operation that takes back a move."""
        return op.TakeBackMove(str(route))

    def clear_version(self, version: Token, route: Token) -> op.Operation:
        """Return the operation that unblocks a version."""
        return op.ClearVersion(str(route), str(version))

    def add_control(self, name: Token) -> Command:
        """Return the command that adds a control node."""
        return AddControl(str(name))

    def replace_control(self, name: Token) -> Command:
        """Return the command that replaces a control node."""
        return ReplaceControl(str(name))

    def remove_control(self, name: Token) -> Command:
        """Return the command that removes a control node."""
        return RemoveControl(str(name))
