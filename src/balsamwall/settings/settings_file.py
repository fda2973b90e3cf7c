"""Read and validate the settings file."""

from __future__ import annotations

import configparser
import importlib.util
import pathlib
from typing import Any

from balsamwall.settings import address
from balsamwall.settings import daemon_settings
from balsamwall.settings import exceptions
from balsamwall.settings import parsers
from balsamwall.settings import schema

MAX_FILE_BYTES = 1024 * 1024


def _name(key: str, default: Any = schema.REQUIRED) -> schema.Key:
    return schema.Key(key, parsers.name, parsers.NAME_ALLOWED, default)


def _integer(key: str, minimum: int, maximum: int, default: int) -> schema.Key:
    return schema.Key(
        key,
        parsers.integer(minimum, maximum),
        f"{minimum} to {maximum}",
        default,
    )


def _choice(key: str, *choices: str) -> schema.Key:
    return schema.Key(key, parsers.choice(*choices), " or ".join(choices))


def _listen(key: str, default: Any = None) -> schema.Key:
    parse = address.parse
    return schema.Key(key, parse, parsers.LISTEN_ALLOWED, default)


def _connect(key: str, default: Any = schema.REQUIRED) -> schema.Key:
    parse = parsers.connect_address
    return schema.Key(key, parse, parsers.ADDRESS_ALLOWED, default)


def _path(key: str) -> schema.Key:
    return schema.Key(key, _existing_file, "path of a readable file")


def _existing_file(text: str) -> str:
    if not pathlib.Path(text).is_file():
        raise ValueError(text)
    return text


DAEMON = schema.Section(
    "daemon",
    (
        _choice("role", "entry", "agent"),
        _name("vm"),
        schema.Key(
            "tenant",
            parsers.tenants,
            "one name; for an entry several, separated by commas",
        ),
        _name("availability_zone"),
    ),
)
LISTEN = schema.Section(
    "listen",
    (
        _listen("callers"),
        _listen("administration"),
        _listen("internal"),
        _listen("metrics", schema.REQUIRED),
    ),
)
PLATFORM = schema.Section(
    "platform",
    (
        schema.Key(
            "key_value",
            parsers.connect_addresses,
            parsers.ADDRESS_ALLOWED + ", several separated by commas",
        ),
        _connect("vm_list"),
        _connect("weight_store", None),
    ),
)
TLS = schema.Section(
    "tls", (_path("certificate"), _path("private_key"), _path("authority"))
)
LIMITS = schema.Section(
    "limits",
    (
        _integer("body_bytes", 1_024, 2**24, 2**20),
        _integer("total_body_bytes", 2**20, 2**30, 2**25),
        _integer("answer_bytes", 1_024, 2**28, 2**24),
        _integer("caller_connections", 1, 100_000, 4_096),
        _integer("caller_buffer_bytes", 65_536, 2**28, 2**20),
        _integer("peer_connections", 1, 10_000, 1_024),
        _integer("peer_buffer_bytes", 65_536, 2**28, 2**23),
        _integer("peer_frames_per_second", 100, 10**6, 20_000),
        _integer("rejected_keys_per_second", 1, 10_000, 5),
    ),
)
ADMINISTRATION_KEY = schema.Section(
    "administration_key NAME",
    (
        schema.Key(
            "tenant",
            parsers.name_or_any,
            parsers.NAME_ALLOWED + ", or * for every tenant",
        ),
        _choice("access", "read", "write"),
        schema.Key("sha256", parsers.sha256, parsers.SHA256_ALLOWED),
    ),
)
BACKEND = schema.Section(
    "backend NAME",
    (
        _choice("kind", "engine", "service"),
        _connect("address"),
        _name("peer", ""),
        _listen("listen"),
        schema.Key(
            "services",
            parsers.names,
            "service names separated by commas",
            (),
        ),
        _integer("max_order_delay_ms", 0, 600_000, 30_000),
        _integer("max_concurrent", 1, 10_000, 64),
    ),
)
_SINGLE_SECTIONS = (DAEMON, LISTEN, PLATFORM, TLS, LIMITS)
_NAMED_SECTIONS = {
    "administration_key": ADMINISTRATION_KEY,
    "backend": BACKEND,
}


def load(path: str) -> daemon_settings.DaemonSettings:
    """Read and validate a settings file; raise SettingsError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        problem = exceptions.Problem("file", "", str(error), "a readable file")
        raise exceptions.SettingsError(path, [problem]) from error
    if len(data) > MAX_FILE_BYTES:
        problem = exceptions.Problem(
            "file",
            "",
            f"more than {MAX_FILE_BYTES} bytes",
            f"at most {MAX_FILE_BYTES} bytes",
        )
        raise exceptions.SettingsError(path, [problem])
    try:
        return parse(data.decode("utf-8"), path)
    except UnicodeDecodeError as error:
        problem = exceptions.Problem("file", "", "invalid UTF-8", "UTF-8 text")
        raise exceptions.SettingsError(path, [problem]) from error


def parse(text: str, path: str) -> daemon_settings.DaemonSettings:
    """Parse and validate settings; `path` is used in messages only.

    Raise SettingsError.
    """
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", delimiters=("=",)
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, path)
    except configparser.Error as error:
        # The parser's message quotes the line, which may contain a secret.
        line = getattr(error, "lineno", None)
        found = f"{type(error).__name__} at line {line}"
        problem = exceptions.Problem(
            "file", "", found, "INI syntax without duplicate keys"
        )
        raise exceptions.SettingsError(path, [problem]) from None
    return _Reader(parser, path).read()


class _Reader:
    """Reader that collects all problems of one file."""

    __slots__ = ("_problems", "_parser", "_path")

    def __init__(self, parser: configparser.ConfigParser, path: str) -> None:
        self._parser = parser
        self._path = path
        self._problems: list[exceptions.Problem] = []

    def read(self) -> daemon_settings.DaemonSettings:
        """Return the settings; raise SettingsError with all problems."""
        self._check_section_names()
        daemon = self._read_single(DAEMON)
        listen = self._read_single(LISTEN)
        platform = self._read_single(PLATFORM)
        limits = self._read_single(LIMITS)
        has_tls = self._parser.has_section("tls")
        tls = self._read_single(TLS) if has_tls else None
        if has_tls and importlib.util.find_spec("OpenSSL") is None:
            self._report("tls", "", "section", "no TLS without pyOpenSSL")
        current, keys = self._read_internal_keys()
        administration = [
            daemon_settings.AdministrationKey(name, **values)
            for name, values in self._read_named("administration_key")
        ]
        self._check_role(daemon, listen, platform)
        backends = self._read_backends(daemon, listen)
        if self._problems:
            raise exceptions.SettingsError(self._path, self._problems)
        return daemon_settings.DaemonSettings(
            **daemon,
            listen_callers=listen["callers"],
            listen_administration=listen["administration"],
            listen_metrics=listen["metrics"],
            **platform,
            internal_keys=keys,
            current_key_id=current,
            tls=daemon_settings.TlsSettings(**tls) if tls else None,
            limits=daemon_settings.LimitSettings(**limits),
            administration_keys=tuple(administration),
            backends=tuple(backends),
        )

    def _report(
        self, section: str, key: str, found: str, allowed: str
    ) -> None:
        self._problems.append(exceptions.Problem(section, key, found, allowed))

    def _check_section_names(self) -> None:
        single = {section.name for section in _SINGLE_SECTIONS} | {
            "internal_keys"
        }
        for label in self._parser.sections():
            kind, _, name = label.partition(" ")
            if label in single:
                continue
            if kind in _NAMED_SECTIONS:
                try:
                    parsers.name(name.strip())
                except ValueError:
                    self._report(label, "", repr(name), parsers.NAME_ALLOWED)
                continue
            allowed = sorted(single) + [
                s.name for s in _NAMED_SECTIONS.values()
            ]
            self._report(label, "", "unknown section", ", ".join(allowed))

    def _values(self, label: str) -> dict[str, str]:
        if not self._parser.has_section(label):
            return {}
        return dict(self._parser.items(label))

    def _read_single(self, section: schema.Section) -> dict[str, Any]:
        values = self._values(section.name)
        return section.read(section.name, values, self._problems)

    def _read_named(self, kind: str) -> list[tuple[str, dict[str, Any]]]:
        sections = []
        for label in self._parser.sections():
            first, _, name = label.partition(" ")
            if first == kind:
                values = self._values(label)
                parsed = _NAMED_SECTIONS[kind].read(
                    label, values, self._problems
                )
                sections.append((name.strip(), parsed))
        return sections

    def _read_internal_keys(self) -> tuple[str, dict[str, bytes]]:
        values = self._values("internal_keys")
        current = values.pop("current", "")
        keys: dict[str, bytes] = {}
        for name, text in values.items():
            try:
                keys[parsers.name(name)] = parsers.secret(text)
            except ValueError:
                self._report(
                    "internal_keys",
                    name,
                    "a secret value",
                    parsers.SECRET_ALLOWED,
                )
        if current not in values:
            allowed = ", ".join(sorted(values)) or "the name of a key"
            found = repr(current) if current else "no value"
            self._report("internal_keys", "current", found, allowed)
        return current, keys

    def _check_role(
        self,
        daemon: dict[str, Any],
        listen: dict[str, Any],
        platform: dict[str, Any],
    ) -> None:
        role = daemon["role"]
        labels = [
            label
            for label in self._parser.sections()
            if label.partition(" ")[0] == "backend"
        ]
        if role == "entry":
            if listen["callers"] is None:
                self._report(
                    "listen", "callers", "no value", parsers.LISTEN_ALLOWED
                )
            for label in labels:
                self._report(label, "", "section", "none in an entry")
        elif role == "agent":
            if not labels:
                self._report(
                    "backend NAME", "", "no section", "one or more in an agent"
                )
            for key in ("callers", "administration"):
                if listen[key] is not None:
                    found = repr(str(listen[key]))
                    self._report("listen", key, found, "none in an agent")
            for label in self._parser.sections():
                if label.partition(" ")[0] == "administration_key":
                    self._report(label, "", "section", "none in an agent")
            has_engine = any(
                self._values(label).get("kind") == "engine" for label in labels
            )
            if has_engine and platform["weight_store"] is None:
                if "weight_store" not in self._values("platform"):
                    self._report(
                        "platform",
                        "weight_store",
                        "no value",
                        parsers.ADDRESS_ALLOWED,
                    )

    def _read_backends(
        self, daemon: dict[str, Any], listen: dict[str, Any]
    ) -> list[daemon_settings.BackendSettings]:
        sections = self._read_named("backend")
        backends = []
        peers: dict[str, str] = {}
        ports: dict[str, str] = {}
        for name, values in sections:
            label = f"backend {name}"
            # A single unit uses the VM's name and port. Several units need
            # one each, since messages do not carry the name of a unit.
            if len(sections) == 1:
                values["peer"] = values["peer"] or daemon["vm"]
                values["listen"] = values["listen"] or listen["internal"]
            if values["peer"] == "":
                self._report(label, "peer", "no value", parsers.NAME_ALLOWED)
            if values["listen"] is None and "listen" not in self._values(
                label
            ):
                self._report(
                    label, "listen", "no value", parsers.LISTEN_ALLOWED
                )
            values["server"] = values.pop("address")
            self._check_unique(label, "peer", values["peer"], peers)
            if values["listen"] is not None and values["listen"].port:
                text = str(values["listen"])
                self._check_unique(label, "listen", text, ports)
            if values["kind"] == "service" and not values["services"]:
                self._report(label, "services", "no value", "service names")
            backends.append(
                daemon_settings.BackendSettings(name=name, **values)
            )
        return backends

    def _check_unique(
        self, label: str, key: str, value: str, seen: dict[str, str]
    ) -> None:
        if not value:
            return
        if value in seen:
            allowed = f"a value other than that of [{seen[value]}]"
            self._report(label, key, repr(value), allowed)
        seen.setdefault(value, label)
