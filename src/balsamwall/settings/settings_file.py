"""Reader of the settings file."""

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


def _integer(key: str, lowest: int, highest: int, default: int) -> schema.Key:
    return schema.Key(
        key,
        parsers.integer(lowest, highest),
        f"{lowest} to {highest}",
        default,
    )


def _word(key: str, *choices: str) -> schema.Key:
    return schema.Key(key, parsers.one_of(*choices), " or ".join(choices))


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
        _word("role", "entry", "agent"),
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
        _word("access", "read", "write"),
        schema.Key("sha256", parsers.sha256, parsers.SHA256_ALLOWED),
    ),
)
BACKEND = schema.Section(
    "backend NAME",
    (
        _word("kind", "engine", "service"),
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
_SINGLE = (DAEMON, LISTEN, PLATFORM, TLS, LIMITS)
_NAMED = {"administration_key": ADMINISTRATION_KEY, "backend": BACKEND}


def load(path: str) -> daemon_settings.DaemonSettings:
    """Read and check a settings file; raise SettingsError."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        fault = exceptions.Fault("file", "", str(error), "a readable file")
        raise exceptions.SettingsError(path, [fault]) from error
    if len(data) > MAX_FILE_BYTES:
        fault = exceptions.Fault(
            "file",
            "",
            f"more than {MAX_FILE_BYTES} bytes",
            f"at most {MAX_FILE_BYTES} bytes",
        )
        raise exceptions.SettingsError(path, [fault])
    try:
        return parse(data.decode("utf-8"), path)
    except UnicodeDecodeError as error:
        fault = exceptions.Fault("file", "", "other encoding", "UTF-8 text")
        raise exceptions.SettingsError(path, [fault]) from error


def parse(text: str, path: str) -> daemon_settings.DaemonSettings:
    """Check the text of a settings file; raise SettingsError."""
    parser = configparser.ConfigParser(
        interpolation=None, default_section="", delimiters=("=",)
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, path)
    except configparser.Error as error:
        # The parser's message quotes the line, which may hold a secret.
        line = getattr(error, "lineno", None)
        found = f"{type(error).__name__} at line {line}"
        fault = exceptions.Fault("file", "", found, "INI syntax, keys once")
        raise exceptions.SettingsError(path, [fault]) from None
    return _Reader(parser, path).read()


class _Reader:
    """Collector of values and of all faults of one file."""

    __slots__ = ("_faults", "_parser", "_path")

    def __init__(self, parser: configparser.ConfigParser, path: str) -> None:
        self._parser = parser
        self._path = path
        self._faults: list[exceptions.Fault] = []

    def read(self) -> daemon_settings.DaemonSettings:
        """Return the settings; raise SettingsError with all faults."""
        self._check_section_names()
        daemon = self._single(DAEMON)
        listen = self._single(LISTEN)
        platform = self._single(PLATFORM)
        limits = self._single(LIMITS)
        has_tls = self._parser.has_section("tls")
        tls = self._single(TLS) if has_tls else None
        if has_tls and importlib.util.find_spec("OpenSSL") is None:
            self._fault("tls", "", "section", "no TLS without pyOpenSSL")
        current, keys = self._internal_keys()
        administration = [
            daemon_settings.AdministrationKey(name, **values)
            for name, values in self._named("administration_key")
        ]
        self._check_role(daemon, listen, platform)
        backends = self._backends(daemon, listen)
        if self._faults:
            raise exceptions.SettingsError(self._path, self._faults)
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

    def _fault(self, section: str, key: str, found: str, allowed: str) -> None:
        self._faults.append(exceptions.Fault(section, key, found, allowed))

    def _check_section_names(self) -> None:
        single = {section.name for section in _SINGLE} | {"internal_keys"}
        for label in self._parser.sections():
            kind, _, name = label.partition(" ")
            if label in single:
                continue
            if kind in _NAMED:
                try:
                    parsers.name(name.strip())
                except ValueError:
                    self._fault(label, "", repr(name), parsers.NAME_ALLOWED)
                continue
            allowed = sorted(single) + [s.name for s in _NAMED.values()]
            self._fault(label, "", "unknown section", ", ".join(allowed))

    def _values(self, label: str) -> dict[str, str]:
        if not self._parser.has_section(label):
            return {}
        return dict(self._parser.items(label))

    def _single(self, section: schema.Section) -> dict[str, Any]:
        values = self._values(section.name)
        return section.read(section.name, values, self._faults)

    def _named(self, kind: str) -> list[tuple[str, dict[str, Any]]]:
        found = []
        for label in self._parser.sections():
            first, _, name = label.partition(" ")
            if first == kind:
                values = self._values(label)
                read = _NAMED[kind].read(label, values, self._faults)
                found.append((name.strip(), read))
        return found

    def _internal_keys(self) -> tuple[str, dict[str, bytes]]:
        values = self._values("internal_keys")
        current = values.pop("current", "")
        keys: dict[str, bytes] = {}
        for name, text in values.items():
            try:
                keys[parsers.name(name)] = parsers.secret(text)
            except ValueError:
                self._fault(
                    "internal_keys",
                    name,
                    "a secret value",
                    parsers.SECRET_ALLOWED,
                )
        if current not in values:
            allowed = ", ".join(sorted(values)) or "the name of a key"
            found = repr(current) if current else "no value"
            self._fault("internal_keys", "current", found, allowed)
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
                self._fault(
                    "listen", "callers", "no value", parsers.LISTEN_ALLOWED
                )
            for label in labels:
                self._fault(label, "", "section", "none in an entry")
        elif role == "agent":
            if not labels:
                self._fault(
                    "backend NAME", "", "no section", "one or more in an agent"
                )
            for key in ("callers", "administration"):
                if listen[key] is not None:
                    found = repr(str(listen[key]))
                    self._fault("listen", key, found, "none in an agent")
            for label in self._parser.sections():
                if label.partition(" ")[0] == "administration_key":
                    self._fault(label, "", "section", "none in an agent")
            has_engine = any(
                self._values(label).get("kind") == "engine" for label in labels
            )
            if has_engine and platform["weight_store"] is None:
                if "weight_store" not in self._values("platform"):
                    self._fault(
                        "platform",
                        "weight_store",
                        "no value",
                        parsers.ADDRESS_ALLOWED,
                    )

    def _backends(
        self, daemon: dict[str, Any], listen: dict[str, Any]
    ) -> list[daemon_settings.BackendSettings]:
        rows = self._named("backend")
        backends = []
        peers: dict[str, str] = {}
        ports: dict[str, str] = {}
        for name, values in rows:
            label = f"backend {name}"
            # A single unit uses the VM's own name and port; each of several
            # units needs its own, so that no message must name a unit.
            if len(rows) == 1:
                values["peer"] = values["peer"] or daemon["vm"]
                values["listen"] = values["listen"] or listen["internal"]
            if values["peer"] == "":
                self._fault(label, "peer", "no value", parsers.NAME_ALLOWED)
            if values["listen"] is None and "listen" not in self._values(
                label
            ):
                self._fault(
                    label, "listen", "no value", parsers.LISTEN_ALLOWED
                )
            values["server"] = values.pop("address")
            self._check_unique(label, "peer", values["peer"], peers)
            if values["listen"] is not None and values["listen"].port:
                text = str(values["listen"])
                self._check_unique(label, "listen", text, ports)
            if values["kind"] == "service" and not values["services"]:
                self._fault(label, "services", "no value", "service names")
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
            self._fault(label, key, repr(value), allowed)
        seen.setdefault(value, label)
