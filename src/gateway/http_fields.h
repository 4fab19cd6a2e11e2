#pragma once

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>

namespace carawaypoint
{

/// Whether a header concerns one connection only and is not passed on.
bool isConnectionField(std::string_view name);

/// Copies all fields of @p from that are not about its connection, nor named in its Connection header.
void copyEndToEndFields(const boost::beast::http::fields &from, boost::beast::http::fields &to);

/// The seconds of `Keep-Alive: timeout=N`; @p otherwise when there are none.
double keepAliveSeconds(const boost::beast::http::fields &fields, double otherwise);

/// The head of an answer up to its last field; the caller adds the fields of the body's length and the empty line.
std::string headerText(const boost::beast::http::fields &fields, unsigned status, std::string_view reason, bool isKept);

/// @p bytes as one chunk of a body in chunks.
std::string chunkOf(std::string_view bytes);

/// Whether the status promises that the request has not run and never will.
bool isPromise(unsigned status);

}
