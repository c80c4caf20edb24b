#pragma once

#include <string_view>

namespace burdockshelf
{

/// True if the text is a token of RFC 9110, section 5.6.2, which names of fields must be.
bool isToken(std::string_view text);
/// True if the text may be the value of a field or the reason of a status line: no control bytes but tabs.
bool isFieldText(std::string_view text);
/// Compares text as names of fields and of codings are compared.
bool isSameIgnoringCase(std::string_view left, std::string_view right);
/// The text without blanks and tabs around it.
std::string_view withoutBlanks(std::string_view text);

} // namespace burdockshelf
