"""Validated models of the operators' two tables."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Self

import msgspec
from pydantic import BaseModel, ConfigDict, Field, StringConstraints, model_validator

Name = Annotated[
    str, StringConstraints(pattern=r"^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$", max_length=63)
]
DEFAULT_LOAD_BOUND = 1.25
DEFAULT_DEADLINE_MS = 60_000
MAX_DEADLINE_MS = 600_000
MAX_PRIORITY = 9


class PoolKind(StrEnum):
    """Kind of backend servers in a pool."""

    ENGINE = "engine"
    SERVICE = "service"


class Model(BaseModel):
    """Base of the table models: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class AccountLimit(Model):
    """Rate limit of one client account on a route."""

    requests_per_s: float = Field(gt=0, le=100_000)
    burst: int = Field(default=10, ge=1, le=1_000_000)


class Route(Model):
    """A named route and its pools in order of preference."""

    pools: list[Name] = Field(min_length=1, max_length=8)
    repeatable: bool = True
    priority: int = Field(default=0, ge=0, le=MAX_PRIORITY)
    deadline_ms: int = Field(default=DEFAULT_DEADLINE_MS, ge=100, le=MAX_DEADLINE_MS)
    other_regions: bool = False
    account_limit: AccountLimit | None = None
    account_limits: dict[str, AccountLimit] = {}


class Pool(Model):
    """A named pool of backend servers."""

    kind: PoolKind
    data_centres: list[Name] = Field(min_length=1, max_length=64)
    load_bound: float = Field(default=DEFAULT_LOAD_BOUND, gt=1.0, le=10.0)
    checks_fencing: bool = False
    models: list[str] = Field(default=[], max_length=64)
    adapters: list[str] = Field(default=[], max_length=256)


@dataclass(frozen=True)
class Problem:
    """A validation error in a table, with its key and the allowed values."""

    key: str
    message: str
    allowed: str = ""


def find_reference_problems(
    routes: dict[str, Route], pools: dict[str, Pool]
) -> list[Problem]:
    """Return the problems of routes with missing pools or pools of two kinds."""
    problems = []
    for name, route in routes.items():
        key = f"routes.{name}.pools"
        missing = [pool for pool in route.pools if pool not in pools]
        problems += [
            Problem(
                key,
                f"route {name!r} points to pool {pool!r}, which does not exist",
                "names of the pools table",
            )
            for pool in missing
        ]
        if not missing and len({pools[pool].kind for pool in route.pools}) > 1:
            message = f"route {name!r} mixes engine and service pools"
            problems.append(Problem(key, message, "pools of one kind"))
    return problems


class Tables(Model):
    """Both tables, validated together."""

    routes: dict[Name, Route] = {}
    pools: dict[Name, Pool] = {}

    @model_validator(mode="after")
    def check_references(self) -> Self:
        """Require that the pools of each route exist and are of one kind."""
        for problem in find_reference_problems(self.routes, self.pools):
            raise ValueError(problem.message)
        return self

    def digest(self) -> str:
        """Return a digest that is equal if and only if the tables are equal."""
        canonical = msgspec.json.encode(self.model_dump(mode="json"), order="sorted")
        return hashlib.blake2b(canonical, digest_size=16).hexdigest()
