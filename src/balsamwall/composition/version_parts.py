"""Parts that know the software versions of servers and streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from balsamwall.coordination import version_record
from balsamwall.coordination import version_retirement
from balsamwall.gateway import software_versions
from balsamwall.gateway import stream_origins
from balsamwall.gateway import version_proof

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from balsamwall.gateway import backend_directory
    from balsamwall.gateway import configuration_holder
    from balsamwall.infrastructure import key_value_service
    from balsamwall.logs import decision_log
    from balsamwall.timing import clock as clock_module

# Key of the software versions that servers have, by service.
RECORD_KEY = "balsamwall/software-versions"


class VersionParts:
    """Versions, their record in the store, and the origins of streams.

    They are built before all listeners of the directory that use servers.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        random_source: random.Random,
        configuration: configuration_holder.ConfigurationHolder,
        directory: backend_directory.BackendDirectory,
        store: key_value_service.KeyValueService,
        is_coordinator: Callable[[], bool],
        is_store_available: Callable[[], bool],
        count_entries: Callable[[], int],
        log: decision_log.DecisionLog,
    ) -> None:
        self.versions = software_versions.SoftwareVersions(
            configuration, directory
        )
        self.origins = stream_origins.StreamOrigins(
            clock, configuration, self.versions
        )
        self._record = version_record.VersionRecord(
            clock,
            random_source,
            store,
            RECORD_KEY,
            self.versions,
            version_retirement.VersionRetirement(
                clock, self.versions, lambda: self.origins.lifetime_ms
            ),
            is_coordinator,
            is_store_available,
            count_entries,
            log,
        )
        self.proof = version_proof.VersionProof(
            clock, count_entries, self._record.read
        )

    def start(self) -> None:
        """Follow the record in the store."""
        self._record.start()
