"""The encoding of configuration updates, depending on the router's encodings and the size of the update."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from larkweir.cluster.configuration.compression import DEFLATE, decompress
from larkweir.cluster.links import Connection
from larkweir.cluster.messages import NodeRole, Pull
from larkweir.controller.configuration_delivery import (
    MIN_COMPRESSED_BYTES,
    ConfigurationAnswer,
    ConfigurationDelivery,
)
from larkweir.controller.configuration_history import ConfigurationHistory
from larkweir.controller.subscriptions import Subscriber

LARGE, SMALL = 200, 3  # number of services in a configuration


def value(generation: int, services: int) -> str:
    listed = [{"name": f"service-{n}", "max_conns": generation} for n in range(services)]
    return msgspec.json.encode({"generation": generation, "services": listed}).decode()


class DeliveryHarness:
    """A controller's history and one connected router. Must be created inside an event loop."""

    def __init__(self, services: int = LARGE) -> None:
        self.history = ConfigurationHistory()
        self.history.add(1, value(1, services))
        self.delivery = ConfigurationDelivery(self.history)
        self.router = self.new_subscriber()

    @staticmethod
    def new_subscriber() -> Subscriber:
        connection = Connection(lambda connection, message: None, lambda connection: None)
        return Subscriber(connection, NodeRole.ROUTER)

    def answer(self, pull: Pull) -> ConfigurationAnswer:
        self.delivery.record_encodings(self.router, pull)
        return self.delivery.answer(self.router, pull)


def generation_of(answer: ConfigurationAnswer) -> int:
    assert answer.compressed_config is not None
    assert answer.config is None
    return int(msgspec.json.decode(decompress(answer.compressed_config).body)["generation"])


def test_a_router_is_asked_for_encodings_once_and_then_sent_large_updates_compressed() -> None:
    async def scenario() -> None:
        harness = DeliveryHarness()
        assert harness.answer(Pull()) == ConfigurationAnswer(wants_encodings=True)
        assert generation_of(harness.answer(Pull(encodings=[DEFLATE]))) == 1
        harness.history.add(2, value(2, LARGE))
        assert generation_of(harness.answer(Pull(config_sequence=1))) == 2
        assert generation_of(harness.answer(Pull())) == 2
        harness.router = harness.new_subscriber()
        assert harness.answer(Pull(config_sequence=1)) == ConfigurationAnswer(wants_encodings=True)
        assert harness.answer(Pull(config_sequence=2, encodings=[DEFLATE])) == ConfigurationAnswer()

    asyncio.run(scenario())


@pytest.mark.parametrize("encodings", [[], ["of-a-later-version"]])
def test_a_router_without_a_supported_encoding_is_sent_the_uncompressed_update(encodings: list[str]) -> None:
    async def scenario() -> None:
        harness = DeliveryHarness()
        assert harness.answer(Pull()).wants_encodings
        plain = harness.answer(Pull(encodings=encodings))
        assert plain.config == harness.history.update_from(-1)
        assert plain.compressed_config is None
        assert not plain.wants_encodings
        assert not harness.answer(Pull()).wants_encodings

    asyncio.run(scenario())


def test_a_small_update_is_sent_uncompressed_without_asking_for_encodings() -> None:
    async def scenario() -> None:
        harness = DeliveryHarness(SMALL)
        update = harness.history.update_from(-1)
        assert update is not None
        assert len(bytes(update.body)) < MIN_COMPRESSED_BYTES
        assert harness.answer(Pull()) == ConfigurationAnswer(config=update)

    asyncio.run(scenario())


def test_a_configuration_that_a_router_cannot_apply_is_sent_once() -> None:
    async def scenario() -> None:
        harness = DeliveryHarness(SMALL)
        assert harness.answer(Pull()).config is not None
        unusable = Pull(unusable_config_sequence=1)
        assert not harness.delivery.has_update(unusable)
        assert harness.answer(unusable) == ConfigurationAnswer()
        harness.history.add(2, value(2, SMALL))
        assert harness.delivery.has_update(unusable)
        assert harness.answer(unusable).config is not None

    asyncio.run(scenario())
