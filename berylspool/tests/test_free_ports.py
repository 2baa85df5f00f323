"""Ports that tests draw stay theirs until their processes listen."""

import socket

import pytest
from tornado.netutil import bind_sockets

from berylspool.tests.cluster import free_ports


def test_free_port_is_taken_for_all_but_its_listener():
    [port] = free_ports(1)
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(("127.0.0.1", port))
    [listener] = bind_sockets(port, "127.0.0.1")
    with listener, socket.create_connection(("127.0.0.1", port)):
        pass


def test_free_ports_differ():
    ports = free_ports(100) + free_ports(100)
    assert len(set(ports)) == 200
