import pytest

from tests.pilots import Client, Pilot


@pytest.fixture
def pilot(tmp_path):
    """A running pilot with six slices and three servers."""
    made = Pilot(tmp_path)
    made.list(s1="in_service", s2="in_service", s3="in_service")
    yield made.start()
    made.stop()


@pytest.fixture
def clients():
    """A function that creates xDS clients, which are closed after the test."""
    made = []

    def make(pilot, node="gw", delta=True, names=True):
        client = Client(pilot.port, node, delta)
        made.append(client)
        if names:
            client.subscribe(
                "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
                ["fleet", *(f"slice/{n}" for n in range(6))],
            )
        return client

    yield make
    for client in made:
        client.close()


@pytest.fixture
def pilot_settings(tmp_path):
    """The settings file of a pilot that is not running and has no state yet."""
    return Pilot(tmp_path).file
