"""Typed access to the cached platform objects: teams, keys, groups, routes, levels and others."""

import hashlib
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from wagtailloft import options
from wagtailloft.controllers.object_cache import ObjectCache
from wagtailloft.eras import ERA_KIND
from wagtailloft.errors import Kind, Refusal
from wagtailloft.models import (
    EraMark,
    Group,
    Host,
    Key,
    LeaseEpoch,
    PublishedPrimary,
    Route,
    SettingsLevel,
    Team,
)

T = TypeVar("T")

TYPE_BY_KIND: dict[str, type] = {
    "team": Team,
    "key": Key,
    "group": Group,
    "route": Route,
    "level": SettingsLevel,
    "leadership": PublishedPrimary,
    "host": Host,
    "epoch": LeaseEpoch,
    ERA_KIND: EraMark,
}
KIND_BY_TYPE = {object_type: kind for kind, object_type in TYPE_BY_KIND.items()}
ANONYMOUS_TEAM = Team(name="open")  # the team of requests without a key on an open route


class Access(msgspec.Struct, frozen=True, kw_only=True):
    """The route and team that a request was admitted to; key_digest is empty without a key."""

    route: Route
    team: Team
    key_digest: str = ""


class Catalog:
    """Look up the settings in force for this host's region and zone."""

    def __init__(self, *, objects: ObjectCache, region: str, zone: str) -> None:
        self.objects = objects
        self._region = region
        self._zone = zone

    def find(self, object_type: type[T], name: str) -> T | None:
        """Return an object by type and name, or None."""
        change = self.objects.get(KIND_BY_TYPE[object_type], name)
        if change is None:
            return None
        return change.decode(object_type)

    def all(self, object_type: type[T]) -> tuple[T, ...]:
        """Return all objects of a type."""
        changes = self.objects.all(KIND_BY_TYPE[object_type])
        return tuple(c.decode(object_type) for c in changes)

    def admit(self, route_name: str, secret: str) -> Result[Access, Refusal]:
        """Check a caller's key against a route; an empty secret is admitted to open routes only."""
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
        return self.admit_team(route, team, digest)

    def admit_team(self, route: Route, team: Team, digest: str) -> Result[Access, Refusal]:
        """Check whether a team, which a key with a digest belongs to, may use a route."""
        if not route.open and team.name not in route.teams:
            return Err(Refusal(kind=Kind.FORBIDDEN))
        return Ok(Access(route=route, team=team, key_digest=digest))

    def key_is_valid(self, digest: str, team: str) -> bool:
        """Tell whether a key still belongs to a team.

        An empty digest, of a request without a key on an open route, is always valid.
        """
        if not digest:
            return True
        key = self.find(Key, digest)
        return key is not None and key.team == team

    def levels(self, route: str, group: str) -> tuple[SettingsLevel, ...]:
        """Return the levels of the settings tree that apply, from the widest to the narrowest."""
        names = (
            options.DEFAULTS_LEVEL,
            f"region:{self._region}",
            f"zone:{self._zone}",
            f"group:{group}",
            f"route:{route}",
        )
        found = (self.find(SettingsLevel, name) for name in names)
        return tuple(level for level in found if level is not None)

    def options(self, route: str, group: str) -> options.Options:
        """Return the options in force for a route of a group."""
        return options.resolve(self.levels(route, group))


def key_digest(secret: str) -> str:
    """Return the SHA-256 digest, in hexadecimal, under which a key is stored."""
    return hashlib.sha256(secret.encode("utf-8", "surrogatepass")).hexdigest()
