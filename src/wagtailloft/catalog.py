"""Typed reading of the platform's objects: teams, keys, groups, routes, levels."""

import hashlib
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from wagtailloft import options
from wagtailloft.controllers.object_cache import ObjectCache
from wagtailloft.errors import Kind, Refusal
from wagtailloft.models import Epoch, Group, Host, Key, Leadership, Level, Route, Team

T = TypeVar("T")

TYPE_BY_KIND: dict[str, type] = {
    "team": Team,
    "key": Key,
    "group": Group,
    "route": Route,
    "level": Level,
    "leadership": Leadership,
    "host": Host,
    "epoch": Epoch,
}
KIND_BY_TYPE = {kind: name for name, kind in TYPE_BY_KIND.items()}
ANONYMOUS_TEAM = Team(name="open")


class Access(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the route, group and team that a request was admitted to."""

    route: Route
    team: Team
    key_digest: str = ""


class Catalog:
    """Answer what the settings in force say."""

    def __init__(self, *, objects: ObjectCache, region: str, zone: str) -> None:
        self.objects = objects
        self._region = region
        self._zone = zone

    def find(self, kind: type[T], name: str) -> T | None:
        """Return an object by type and name."""
        change = self.objects.get(KIND_BY_TYPE[kind], name)
        if change is None:
            return None
        return change.decode(kind)

    def all(self, kind: type[T]) -> tuple[T, ...]:
        """Return all objects of a type."""
        changes = self.objects.all(KIND_BY_TYPE[kind])
        return tuple(c.decode(kind) for c in changes)

    def admit(self, route_name: str, secret: str) -> Result[Access, Refusal]:
        """Check a caller's key against a route."""
        route = self.find(Route, route_name)
        if route is None:
            return Err(Refusal(kind=Kind.UNKNOWN_ROUTE))
        if not secret:
            if route.open:
                return Ok(Access(route=route, team=ANONYMOUS_TEAM))
            return Err(Refusal(kind=Kind.KEY_MISSING))
        digest = key_digest(secret)
        key = self.find(Key, digest)
        team = self.find(Team, key.team) if key else None
        if team is None:
            return Err(Refusal(kind=Kind.KEY_UNKNOWN))
        if not route.open and team.name not in route.teams:
            return Err(Refusal(kind=Kind.FORBIDDEN))
        return Ok(Access(route=route, team=team, key_digest=digest))

    def key_is_valid(self, digest: str, team: str) -> bool:
        """Tell whether a key still stands for a team; no key stands for an open route."""
        if not digest:
            return True
        key = self.find(Key, digest)
        return key is not None and key.team == team

    def levels(self, route: str, group: str) -> tuple[Level, ...]:
        """Return the levels of the tree that apply, the widest first."""
        names = (
            options.DEFAULTS,
            f"region:{self._region}",
            f"zone:{self._zone}",
            f"group:{group}",
            f"route:{route}",
        )
        found = (self.find(Level, name) for name in names)
        return tuple(level for level in found if level is not None)

    def options(self, route: str, group: str) -> options.Options:
        """Return the options in force for a route of a group."""
        return options.resolve(self.levels(route, group))


def key_digest(secret: str) -> str:
    """Return the hash under which a key is stored."""
    return hashlib.sha256(secret.encode("utf-8", "surrogatepass")).hexdigest()
