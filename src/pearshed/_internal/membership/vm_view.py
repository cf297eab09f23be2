"""The latest VM list that this process has received."""

import json
from collections.abc import Callable, Iterable

from absl import logging
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from pearshed._internal.configuration.feed import Feed, FeedName
from pearshed._internal.errors import FieldProblem
from pearshed._internal.membership.rendezvous import ranked
from pearshed._internal.models.vms import VM, VMRole, VMState
from pearshed._internal.utils.fields import FieldReader


class VMView(Feed):
    """Feed of the VM list, with queries on it; the list lags behind the VMs' real state.

    A VM that is not listed counts as live: the list may be late, and connections show whether the
    VM is up.
    """

    def __init__(self) -> None:
        super().__init__(FeedName.VMS)
        self._vms: dict[str, VM] = {}
        self._documents: dict[str, bytes] = {}
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change of the list."""
        self._callbacks.append(callback)

    def documents_after(self, revision: int) -> tuple[bytes, ...]:
        """Return the documents of the VMs that changed after a revision."""
        names = (name for name, vm in self._vms.items() if vm.revision > revision)
        return tuple(self._documents[name] for name in names)

    def is_leaving(self, name: str) -> bool:
        """Return whether the VM is listed as leaving or gone."""
        vm = self._vms.get(name)
        return vm is not None and vm.state is not VMState.LIVE

    def live_entries(self) -> dict[str, str]:
        """Return the data centre of each entry that is listed as live, by name."""
        return {
            vm.name: vm.data_centre
            for vm in self._vms.values()
            if vm.role is VMRole.ENTRY and vm.state is VMState.LIVE
        }

    def is_reader(self, name: str, data_centre: str, readers: int) -> bool:
        """Return whether an entry is one of those that read the platform for its data centre.

        While no entry of the data centre is listed, every entry is a reader, since the list may not
        have been read yet.

        :param readers: number of readers in a data centre.
        """
        entries = self.live_entries()
        local_entries = [entry for entry in entries if entries[entry] == data_centre]
        return not local_entries or name in ranked(data_centre, local_entries)[:readers]

    def _accept_all(self, documents: Iterable[bytes]) -> int:
        return sum(self._accept(document) for document in documents)

    def _accept(self, document: bytes) -> bool:
        parsed = parse_vm(document)
        if not is_successful(parsed):
            logging.error("rejected a VM in the VM list: %s", parsed.failure())
            return False
        vm = parsed.unwrap()
        current = self._vms.get(vm.name)
        if current is not None and current.revision >= vm.revision:
            return False
        self._vms[vm.name] = vm
        self._documents[vm.name] = document
        return True

    def _changed(self, accepted: int) -> None:
        logging.info("applied VM list revision %d: %d VMs changed", self._revision, accepted)
        for callback in self._callbacks:
            callback()


def parse_vm(document: bytes) -> Result[VM, str]:
    """Parse one document of the platform's VM list.

    :param document: a JSON object with name, data_centre, role, state and revision.
    """
    try:
        raw = json.loads(document)
    except (ValueError, RecursionError) as error:
        return Failure(f"not a JSON document: {error}")
    problems: list[FieldProblem] = []
    reader = FieldReader(raw, problems)
    name = reader.text("name")
    data_centre = reader.text("data_centre")
    role = reader.text("role", choices=[choice.value for choice in VMRole])
    state = reader.text("state", choices=[choice.value for choice in VMState])
    revision = reader.integer("revision", minimum=1)
    if problems:
        return Failure("; ".join(str(problem) for problem in problems))
    return Success(VM(name, data_centre, VMRole(role), VMState(state), revision))
