"""Calls a process of the system over its framed JSON-RPC interface."""

import hashlib
import hmac
import json
import secrets
import socket
import struct

CHALLENGE, PROOF, REQUEST, RESPONSE = range(4)
# Kind, id, clock, length of the envelope, length of the payload.
HEADER = struct.Struct(">BQQII")


def _proof(fleet_key, text):
    return hmac.new(fleet_key.encode(), text, hashlib.sha256).hexdigest().encode()


class RpcError(Exception):
    """The process refused the call, or did not answer."""


class RpcClient:
    """One connection; one call at a time."""

    def __init__(self, address, fleet_key, timeout=3.0):
        host, port = address.rsplit(":", 1)
        self._socket = socket.create_connection((host, int(port)), timeout)
        self._next = 0
        _, nonce = self._receive()
        own_nonce = secrets.token_bytes(32)
        self._send(PROOF, 0, own_nonce, _proof(fleet_key, b"client:" + nonce))
        _, answer = self._receive()
        if not hmac.compare_digest(answer, _proof(fleet_key, b"server:" + own_nonce)):
            raise RpcError("the process does not hold the fleet's key")

    def close(self):
        self._socket.close()

    def call(self, method, params):
        """The result of one call."""
        self._next += 1
        envelope = {"jsonrpc": "2.0", "id": 1, "method": method, "params": params}
        self._send(REQUEST, self._next, json.dumps(envelope).encode(), b"")
        answer, _ = self._receive()
        parsed = json.loads(answer)
        if "error" in parsed:
            raise RpcError(parsed["error"].get("message", "refused"))
        return parsed["result"]

    def _send(self, kind, number, envelope, payload):
        head = HEADER.pack(kind, number, 0, len(envelope), len(payload))
        self._socket.sendall(head + envelope + payload)

    def _receive(self):
        head = HEADER.unpack(self._exactly(HEADER.size))
        return self._exactly(head[3]), self._exactly(head[4])

    def _exactly(self, count):
        data = b""
        while len(data) < count:
            piece = self._socket.recv(count - len(data))
            if not piece:
                raise RpcError("the process closed the connection")
            data += piece
        return data


def rpc_call(address, fleet_key, method, params, timeout=3.0):
    """One call on a connection of its own."""
    try:
        client = RpcClient(address, fleet_key, timeout)
    except OSError as failed:
        raise RpcError(str(failed)) from failed
    try:
        return client.call(method, params)
    except OSError as failed:
        raise RpcError(str(failed)) from failed
    finally:
        client.close()
