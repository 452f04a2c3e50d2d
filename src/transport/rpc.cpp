#include "eelgrassgw/transport/rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/server/abstractserver.h>

#include <map>

namespace eelgrassgw {

class rpc_dispatcher::impl final : public jsonrpc::IProcedureInvokationHandler {
public:
    impl()
        : handler_(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this)) {
    }

    void add(const std::string& name, rpc_method method) {
        handler_->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
        methods_[name] = std::move(method);
    }

    std::string answer(const std::string& message) {
        std::string reply;
        handler_->HandleRequest(message, reply);
        return reply;
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override {
        try {
            output = methods_.at(procedure.GetProcedureName())(input);
        } catch (const std::exception& e) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, e.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override {}

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> handler_;
    std::map<std::string, rpc_method> methods_;
};

rpc_dispatcher::rpc_dispatcher() : impl_(new impl) {}

rpc_dispatcher::~rpc_dispatcher() = default;

void rpc_dispatcher::add(const std::string& name, rpc_method method) {
    impl_->add(name, std::move(method));
}

std::string rpc_dispatcher::answer(const std::string& message) {
    return impl_->answer(message);
}

namespace {

class transport_connector final : public jsonrpc::IClientConnector {
public:
    explicit transport_connector(const rpc_transport& transport) : transport_(transport) {}

    void SendRPCMessage(const std::string& message,
                        std::string& result) throw(jsonrpc::JsonRpcException) override {
        try {
            result = transport_(message);
        } catch (const std::exception& e) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, e.what());
        }
    }

private:
    const rpc_transport& transport_;
};

} // namespace

Json::Value call_rpc(const rpc_transport& transport, const std::string& name, const Json::Value& params) {
    transport_connector connector(transport);
    jsonrpc::Client client(connector);
    Json::Value result;
    client.CallMethod(name, params, result);
    return result;
}

} // namespace eelgrassgw
