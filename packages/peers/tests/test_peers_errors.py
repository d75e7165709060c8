"""Each error is a PeersError and, for callers that catch it as such, a ValueError."""

from __future__ import annotations

import pytest
from larkweir_peers import errors
from larkweir_peers.addresses import pack_address
from larkweir_peers.authentication import DatagramAuthenticator
from larkweir_peers.drop_reasons import DropReason
from larkweir_peers.fragmentation import Reassembler
from larkweir_peers.messages import decode
from rig_peers import A, B, new_process


def test_errors_have_one_root_which_is_a_value_error() -> None:
    found = [item for item in vars(errors).values() if isinstance(item, type) and issubclass(item, Exception)]
    assert len(found) == 7 and all(issubclass(error, errors.PeersError) for error in found)
    assert issubclass(errors.PeersError, ValueError)


def test_each_error_is_raised_for_its_cause() -> None:
    with pytest.raises(errors.AddressError):
        pack_address("here")
    with pytest.raises(errors.InvalidKeyError):
        DatagramAuthenticator([b"short"])
    with pytest.raises(errors.FragmentError):
        Reassembler().add_fragment(A, 1, 1, 2, 2, b"", 0.0)
    with pytest.raises(errors.ItemError):
        new_process(A).post(B, 0, b"", 0.0)
    with pytest.raises(errors.MessageDecodeError) as caught:
        decode(b"\x07\x01")
    assert caught.value.reason is DropReason.UNKNOWN_VERSION
