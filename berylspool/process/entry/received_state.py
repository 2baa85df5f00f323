"""Configuration, member table and listing that control sends to an entry."""

from collections.abc import Callable

from berylspool.common.event import (
    ConfigurationApplied,
    Event,
    ListingApplied,
)
from berylspool.connection.control_message import (
    ConfigurationSent,
    DeltaSent,
    ListingDelta,
    ListingSent,
    TableDelta,
    TableSent,
)
from berylspool.connection.message import MemberTable
from berylspool.process.control.membership import apply_table_difference
from berylspool.version.configuration import Configuration
from berylspool.version.listing import Listing, apply_difference
from berylspool.version.operation import operation_codec
from berylspool.version.revision import apply_operations

__all__ = ["ReceivedState", "StateUpdate"]

StateUpdate = (
    ConfigurationSent
    | DeltaSent
    | TableSent
    | TableDelta
    | ListingSent
    | ListingDelta
)


class ReceivedState:
    """The newest state that this entry has, which only moves forward.

    Args:
        log: Called with each log event.
        on_configuration: Called with each configuration that comes into force.
        on_table: Called with each newer member table.
        on_listing: Called with each newer listing of upstreams.

    Attributes:
        configuration: Configuration in force.
        table: Newest member table.
        listing: Newest listing of upstreams.
    """

    def __init__(
        self,
        *,
        log: Callable[[Event], None],
        on_configuration: Callable[[Configuration], None],
        on_table: Callable[[MemberTable], None],
        on_listing: Callable[[Listing], None],
    ) -> None:
        self.configuration = Configuration()
        self.table = MemberTable()
        self.listing = Listing()
        self._log = log
        self._on_configuration = on_configuration
        self._on_table = on_table
        self._on_listing = on_listing
        self._operation_codec = operation_codec()

    def apply(self, update: StateUpdate) -> bool:
        """Apply an update; one that starts from another state is ignored.

        The next heartbeat states what this entry has, and the leader sends what
        is missing.

        Returns:
            Whether a configuration came into force.
        """
        match update:
            case TableSent(table=table):
                self._apply_table(table)
            case TableDelta(base_epoch=base) if base == self.table.epoch:
                self._apply_table(
                    apply_table_difference(
                        self.table,
                        update.epoch,
                        update.is_active,
                        update.joined,
                        update.left,
                    )
                )
            case ListingSent(listing=listing):
                self._apply_listing(listing)
            case ListingDelta(epoch=epoch, serial=serial) if (
                epoch,
                serial - 1,
            ) == (self.listing.epoch, self.listing.serial):
                self._apply_listing(
                    apply_difference(
                        self.listing,
                        epoch,
                        serial,
                        update.changed,
                        update.gone,
                    )
                )
            case ConfigurationSent(configuration=configuration):
                return self._apply_configuration(configuration)
            case DeltaSent(base_revision=base) if (
                base == self.configuration.revision
            ):
                operations = self._operation_codec.decode(update.operations)
                return self._apply_configuration(
                    apply_operations(
                        self.configuration, tuple(operations), update.at
                    )
                )
        return False

    def _apply_listing(self, listing: Listing) -> None:
        current = (self.listing.epoch, self.listing.serial)
        if (listing.epoch, listing.serial) <= current:
            return
        self.listing = listing
        self._log(
            ListingApplied(
                listing.epoch, listing.serial, len(listing.listed_by_id)
            )
        )
        self._on_listing(listing)

    def _apply_table(self, table: MemberTable) -> None:
        if table.epoch > self.table.epoch:
            self.table = table
            self._on_table(table)

    def _apply_configuration(self, configuration: Configuration) -> bool:
        if configuration.revision <= self.configuration.revision:
            return False
        self.configuration = configuration
        self._on_configuration(configuration)
        self._log(ConfigurationApplied(configuration.revision))
        return True
