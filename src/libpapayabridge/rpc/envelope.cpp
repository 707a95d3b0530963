// The client of libjsonrpccpp is synchronous, while rpc_client is not. Requests are
// therefore encoded by calling the library's client with a connector that captures the
// text instead of sending it.

#include "envelope.hpp"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <memory>

namespace papayabridge {

namespace {

const char* const null_response = R"({"jsonrpc":"2.0","id":1,"result":null})";

// Captures the request and returns a null result to the library.
class capturing_connector : public jsonrpc::IClientConnector
{
public:
    void SendRPCMessage(const std::string& message,
                        std::string& result) throw(jsonrpc::JsonRpcException) override
    {
        request_text = message;
        result = null_response;
    }

    std::string request_text;
};

Json::Value parse_value(const std::string& text)
{
    Json::Value value;
    Json::CharReaderBuilder builder;
    builder["stackLimit"] = 64;
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return value;
}

std::string write_value(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

const char* const method_key = "method";
const char* const params_key = "params";
const char* const result_key = "result";

} // namespace

std::string encode_rpc_request(const std::string& method, const std::string& params)
{
    capturing_connector connector;
    jsonrpc::Client client(connector);
    client.CallMethod(method, parse_value(params));
    return connector.request_text;
}

decoded_request decode_rpc_request(const std::string& text)
{
    decoded_request request;
    try {
        auto value = parse_value(text);
        if (!value.isObject() || value["jsonrpc"] != "2.0" ||
            !value[method_key].isString() || !value[params_key].isObject())
        {
            return request;
        }
        request.method = value[method_key].asString();
        request.params = write_value(value[params_key]);
        request.valid = true;
    } catch (const Json::Exception&) {
        request.valid = false;
    }
    return request;
}

std::string encode_rpc_result(const std::string& result)
{
    return R"({"jsonrpc":"2.0","id":1,"result":)" + result + "}";
}

std::string encode_rpc_error(const std::string& message)
{
    Json::Value value;
    value["jsonrpc"] = "2.0";
    value["id"] = 1;
    value["error"]["code"] = jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR;
    value["error"]["message"] = message;
    return write_value(value);
}

// Does not use the library's client, which puts its own text before the error message.
decoded_response decode_rpc_response(const std::string& text)
{
    decoded_response response;
    try {
        auto value = parse_value(text);
        if (!value.isObject() || value["jsonrpc"] != "2.0") {
            response.message = "not a JSON-RPC 2.0 response";
        } else if (value.isMember(result_key)) {
            response.result = write_value(value[result_key]);
            response.ok = true;
        } else {
            response.message = value["error"]["message"].asString();
        }
    } catch (const Json::Exception& exception) {
        response.message = exception.what();
    }
    return response;
}

} // namespace papayabridge
