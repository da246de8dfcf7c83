"""Tables files of operators, in TOML or JSON."""

import json
import tomllib
from pathlib import Path
from typing import Any

from pydantic import Field, ValidationError
from result import Err, Ok, Result

from .protocol.tables import Model, Name, Pool, Problem, Route, find_reference_problems
from .state.store import MAX_VALUE_BYTES

MAX_FILE_BYTES = 4 * MAX_VALUE_BYTES
NAME_RULE = "1 to 63 of a-z, 0-9, . and -, with a letter or digit at both ends"

Schema = dict[str, Any]
Location = tuple[int | str, ...]


class Versions(Model):
    """Versions of the tables that the file replaces; 0 is a new table."""

    routes: int | None = Field(default=None, ge=0)
    pools: int | None = Field(default=None, ge=0)


class TablesFile(Model):
    """Content of a tables file; a table that is absent is not changed."""

    versions: Versions = Versions()
    routes: dict[Name, Route] | None = None
    pools: dict[Name, Pool] | None = None


def load_tables_file(path: Path) -> Result[TablesFile, list[Problem]]:
    """Read a tables file and validate its entries."""
    try:
        size = path.stat().st_size
        if size > MAX_FILE_BYTES:
            limit = f"at most {MAX_FILE_BYTES} bytes"
            return Err([Problem("", f"the file has {size} bytes", limit)])
        content = parse_file(path)
    except OSError as error:
        return Err([Problem("", f"cannot read the file: {error.strerror}")])
    except (ValueError, RecursionError) as error:
        return Err([Problem("", f"cannot parse the file: {error}")])
    return validate_content(content)


def parse_file(path: Path) -> object:
    """Parse a file in the format of its suffix."""
    text = path.read_text(encoding="utf-8")
    if path.suffix == ".toml":
        return tomllib.loads(text)
    if path.suffix == ".json":
        return json.loads(text, object_pairs_hook=reject_duplicate_keys)
    raise ValueError("the suffix of a tables file must be .toml or .json")


def reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return a JSON object; refuse duplicate keys, which would replace an entry."""
    unique = dict(pairs)
    if len(unique) != len(pairs):
        keys = [key for key, _ in pairs]
        repeated = next(key for key in keys if keys.count(key) > 1)
        raise ValueError(f"key {repeated!r} appears twice")
    return unique


def validate_content(content: object) -> Result[TablesFile, list[Problem]]:
    """Validate parsed content without converting values from other types."""
    try:
        text = json.dumps(content, default=str)
        return Ok(TablesFile.model_validate_json(text, strict=True))
    except ValidationError as error:
        return Err([describe_error(detail) for detail in error.errors()])


def check_tables_file(path: Path) -> Result[TablesFile, list[Problem]]:
    """Check a file without the store, its references only if it has both tables."""
    loaded = load_tables_file(path)
    if isinstance(loaded, Err):
        return loaded
    content = loaded.unwrap()
    if content.routes is None or content.pools is None:
        return loaded
    problems = find_reference_problems(content.routes, content.pools)
    return Err(problems) if problems else loaded


def describe_error(detail: Any) -> Problem:
    """Return the problem for a validation error, with the key and allowed values."""
    location: Location = detail["loc"]
    if location and location[-1] == "[key]":
        key = ".".join(str(part) for part in location[:-1])
        return Problem(key, "this is not a valid name", NAME_RULE)
    key = ".".join(str(part) for part in location)
    message = detail["msg"][:1].lower() + detail["msg"][1:]
    unknown = detail["type"] == "extra_forbidden"
    if unknown:
        message = "this key is not known"
    schema = schema_at(location[:-1] if unknown else location)
    return Problem(key, message, describe_schema(schema))


def schema_at(location: Location) -> Schema:
    """Return the part of the file's JSON schema at a location."""
    root = TablesFile.model_json_schema()
    schema = root
    for part in location:
        schema = child_schema(resolve(schema, root), part)
    return resolve(schema, root)


def child_schema(schema: Schema, part: int | str) -> Schema:
    """Return the schema of a member of an object or of an item of a list."""
    if part in schema.get("properties", {}):
        return schema["properties"][part]
    if "items" in schema:
        return schema["items"]
    patterns = schema.get("patternProperties", {})
    for value in (*patterns.values(), schema.get("additionalProperties")):
        if isinstance(value, dict):
            return value
    return {}


def resolve(schema: Schema, root: Schema) -> Schema:
    """Follow references and skip the null alternative of optional values."""
    while True:
        if "$ref" in schema:
            schema = root["$defs"][schema["$ref"].rpartition("/")[2]]
        elif "anyOf" in schema:
            schema = next(s for s in schema["anyOf"] if s.get("type") != "null")
        else:
            return schema


def describe_schema(schema: Schema) -> str:
    """Return a description of the values that a schema allows."""
    if "enum" in schema:
        return "one of " + ", ".join(schema["enum"])
    if "properties" in schema:
        return "the keys " + ", ".join(schema["properties"])
    match schema.get("type"):
        case "object":
            return "a table"
        case "boolean":
            return "true or false"
        case "integer":
            return "an integer" + describe_bounds(schema)
        case "number":
            return "a number" + describe_bounds(schema)
        case "array":
            least, most = schema.get("minItems", 0), schema.get("maxItems")
            return f"a list of {least} to {most} items"
        case "string":
            return NAME_RULE if "pattern" in schema else "a string"
    return ""


def describe_bounds(schema: Schema) -> str:
    """Return a description of the bounds of a number."""
    words = {
        "exclusiveMinimum": "above",
        "minimum": "from",
        "maximum": "up to",
    }
    return "".join(f" {word} {schema[k]}" for k, word in words.items() if k in schema)
