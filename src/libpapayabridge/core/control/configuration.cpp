#include "setting_fields.hpp"

#include <papayabridge/configuration.hpp>
#include <papayabridge/json.hpp>

namespace papayabridge {

namespace {

template <class Object>
void read_fields(settings_section& section, std::span<const number_field<Object>> fields,
                 Object& object)
{
    for (const auto& field : fields) {
        field.store(object,
                    section.number(field.json_name, field.range, field.load(object)));
    }
}

template <class Object>
Json::Value write_fields(std::span<const number_field<Object>> fields,
                         const Object& object)
{
    Json::Value value(Json::objectValue);
    for (const auto& field : fields) {
        value[field.json_name] = Json::UInt64(field.load(object));
    }
    return value;
}

void read_ranks(settings_section& service, service_settings& settings)
{
    auto ranks = service.section("ranks");
    for (auto rank : all_ranks) {
        std::string name(to_string(rank));
        auto section = ranks.section(name.c_str());
        auto& one = settings.ranks[rank];
        read_fields(section, rank_fields(), one);
        section.report_unknown_members();
        if (one.deadline < one.target) {
            section.report_invalid("deadline_ms", "at least the target, " +
                                                      std::to_string(one.target.count()) +
                                                      " ms");
        }
    }
    ranks.report_unknown_members();
    if (share_sum(settings) > 100) {
        service.report_invalid("ranks", "shares of at most 100 percent together, not " +
                                            std::to_string(share_sum(settings)));
    }
}

void read_kinds(settings_section& service, service_settings& settings)
{
    auto kinds = service.section("read_kinds");
    for (const auto& name : kinds.member_names()) {
        if (!is_setting_name(name)) {
            kinds.report_invalid(name.c_str(),
                                 "a name of " + std::string(setting_name_text));
            continue;
        }
        auto age = kinds.duration(name.c_str(), accepted_age_range, {});
        if (name == fresh_kind && age.count() != 0) {
            kinds.report_invalid(name.c_str(), "0");
        }
        settings.read_kinds[name] = age;
    }
}

void read_durability(settings_section& service, service_settings& settings)
{
    auto durability = service.text("durability", std::string(majority_text));
    settings.majority_durable = durability != primary_text;
    if (durability != primary_text && durability != majority_text) {
        service.report_invalid("durability", "\"majority\" or \"primary\"");
    }
}

service_settings read_service(settings_section& section, const std::string& name)
{
    auto settings = default_service_settings(service_name(name));
    read_ranks(section, settings);
    read_kinds(section, settings);
    read_durability(section, settings);
    auto limits = section.section("limits");
    read_fields(limits, limit_fields(), settings.limits);
    limits.report_unknown_members();
    section.report_unknown_members();
    return settings;
}

std::string problem_lines(const settings_document& document)
{
    std::string lines;
    for (const auto& problem : document.problems()) {
        if (!lines.empty()) {
            lines += "\n";
        }
        lines += problem.path + ": " + problem.value + "; accepted: " + problem.accepted;
    }
    return lines;
}

Json::Value to_value(const service_settings& service)
{
    Json::Value value;
    for (auto rank : all_ranks) {
        value["ranks"][std::string(to_string(rank))] =
            write_fields(rank_fields(), service.ranks[rank]);
    }
    value["read_kinds"] = Json::Value(Json::objectValue);
    for (const auto& [kind, age] : service.read_kinds) {
        value["read_kinds"][kind] = Json::UInt64(age.count());
    }
    value["durability"] =
        std::string(service.majority_durable ? majority_text : primary_text);
    value["limits"] = write_fields(limit_fields(), service.limits);
    return value;
}

} // namespace

service_settings default_service_settings(service_name name)
{
    using std::chrono::milliseconds;
    service_settings service;
    service.name = std::move(name);
    service.ranks[rank::urgent] = {.target = milliseconds(250),
                                   .worth = 20,
                                   .share_percent = 40,
                                   .deadline = milliseconds(5000)};
    service.ranks[rank::normal] = {.target = milliseconds(1000),
                                   .worth = 5,
                                   .share_percent = 30,
                                   .deadline = milliseconds(10000)};
    service.ranks[rank::batch] = {.target = milliseconds(10000),
                                  .worth = 1,
                                  .share_percent = 20,
                                  .deadline = milliseconds(60000)};
    service.read_kinds[std::string(fresh_kind)] = {};
    return service;
}

result<configuration> configuration_from(const Json::Value& value)
{
    // The text is read again so that one reader reports problems in all JSON settings.
    auto document = settings_document::parse("configuration", to_json(value));
    settings_section root(document);
    configuration settings;
    auto services = root.section("services");
    for (const auto& name : services.member_names()) {
        if (!is_setting_name(name)) {
            services.report_invalid(name.c_str(),
                                    "a name of " + std::string(setting_name_text));
            continue;
        }
        auto section = services.section(name.c_str());
        settings.services[service_name(name)] = read_service(section, name);
    }
    root.report_unknown_members();
    if (!document.problems().empty()) {
        return fail(error_kind::bad_request, problem_lines(document));
    }
    return settings;
}

Json::Value to_value(const configuration& settings)
{
    Json::Value value;
    value["services"] = Json::Value(Json::objectValue);
    for (const auto& [name, service] : settings.services) {
        value["services"][name.str()] = to_value(service);
    }
    return value;
}

} // namespace papayabridge
