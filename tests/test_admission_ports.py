"""The classes on both sides of the two ports have the ports' methods, with the same parameters."""

import inspect

import pytest
from admission_fakes import FakeGateway

from lichenquay.admission.controller import Controller
from lichenquay.admission.ports import AdmissionPort, GatewayPort
from lichenquay.gateway.controller_adapter import ControllerAdapter
from lichenquay.simulator_adapter.simulated_gateway import SimulatedGateway

NOT_ASKED_FOR = {"fetch_endpoints", "close_idle_connections", "send_to_peer"}  # by the controller, today


def methods_of(port):
    """The port's methods by name."""
    return {
        name: method for name, method in vars(port).items() if inspect.isfunction(method) and name[0] != "_"
    }


@pytest.mark.parametrize(
    ("implementation", "port"),
    [(Controller, AdmissionPort), (ControllerAdapter, GatewayPort), (SimulatedGateway, GatewayPort)],
)
def test_an_implementation_has_the_ports_methods_and_parameters(implementation, port):
    """A call by keyword works on each of them."""
    for name, method in methods_of(port).items():
        found = inspect.signature(getattr(implementation, name)).parameters
        assert list(found) == list(inspect.signature(method).parameters), name


def test_the_tests_gateway_has_all_that_the_controller_asks_for():
    """Other methods of the port need no stand-in."""
    assert all(hasattr(FakeGateway, name) for name in set(methods_of(GatewayPort)) - NOT_ASKED_FOR)
