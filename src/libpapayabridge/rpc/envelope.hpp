/// \file envelope.hpp
/// Encodes and decodes JSON-RPC 2.0 requests and responses with libjsonrpccpp.
///
/// The headers of libjsonrpccpp require C++14, so envelope.cpp is compiled as C++14 and
/// this header must be valid in both C++14 and C++20.

#pragma once

#include <string>

namespace papayabridge {

/// A request as decoded by the server.
struct decoded_request
{
    /// False if the text was not a JSON-RPC 2.0 request; the other members are then
    /// unspecified.
    bool valid = false;
    std::string method;
    /// A JSON object, as text.
    std::string params;
};

/// A response as decoded by the client.
struct decoded_response
{
    /// True if the response holds a result, false if it holds an error or is malformed.
    bool ok = false;
    /// The result, as JSON text; set if `ok`.
    std::string result;
    /// The error message; set unless `ok`.
    std::string message;
};

/// Encodes a call of \p method. \p params is a JSON object, as text.
std::string encode_rpc_request(const std::string& method, const std::string& params);
/// Decodes a request whose parameters are a JSON object.
decoded_request decode_rpc_request(const std::string& text);
/// Encodes a successful response. \p result is JSON text.
std::string encode_rpc_result(const std::string& result);
/// Encodes an error response.
std::string encode_rpc_error(const std::string& message);
/// Decodes a response.
decoded_response decode_rpc_response(const std::string& text);

} // namespace papayabridge
