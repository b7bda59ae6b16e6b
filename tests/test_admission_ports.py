"""The classes on both sides of the two ports have the ports' methods, with the same parameters."""

import inspect

import pytest
from admission_fakes import FakeGateway

from lichenquay.admission.controller import Controller
from lichenquay.admission.ports import AdmissionPort, GatewayPort
from lichenquay.gateway.controller_adapter import ControllerAdapter
from lichenquay.simulator_adapter.simulated_gateway import SimulatedGateway

# Methods of the port that the controller does not call:
UNUSED_PORT_METHODS = {"fetch_endpoints", "close_idle_connections", "send_to_peer"}


def methods_of(port):
    """Returns the port's methods by name."""
    return {
        name: method for name, method in vars(port).items() if inspect.isfunction(method) and name[0] != "_"
    }


@pytest.mark.parametrize(
    ("implementation", "port"),
    [(Controller, AdmissionPort), (ControllerAdapter, GatewayPort), (SimulatedGateway, GatewayPort)],
)
def test_an_implementation_has_the_ports_methods_and_parameters(implementation, port):
    """A call with keyword arguments works on each implementation."""
    for name, method in methods_of(port).items():
        found = inspect.signature(getattr(implementation, name)).parameters
        assert list(found) == list(inspect.signature(method).parameters), name


def test_the_fake_gateway_has_all_methods_that_the_controller_calls():
    """The fake needs no other method of the port."""
    assert all(hasattr(FakeGateway, name) for name in set(methods_of(GatewayPort)) - UNUSED_PORT_METHODS)
