#pragma once

/// Parser that reads and validates a configuration document.

#include "eelgrassgw/configuration/configuration.h"
#include "eelgrassgw/settings/document_reader.h"

namespace eelgrassgw {

/// Builds one configuration and collects every error of its document. Each parser parses one document once.
class configuration_parser {
public:
    explicit configuration_parser(const Json::Value& document) : document_(document) {}
    result<configuration> parse();

private:
    void read_defaults(const Json::Value& section);
    void read_services(const Json::Value& list);
    service_call read_call(const Json::Value& section, const std::string& place);
    void read_backend_servers(const Json::Value& list);
    void read_customers(const Json::Value& list);
    void read_exceptions(const Json::Value& list);
    void check_served_names(const backend_server_definition& server, const std::string& place);
    void check_exception(const exception_definition& exception, const std::string& place);
    void check_unique_names();
    void index_keys();
    void finish_reader(document_reader& reader);

    const Json::Value& document_;
    configuration parsed_;
    std::vector<std::string> errors_;
};

} // namespace eelgrassgw
