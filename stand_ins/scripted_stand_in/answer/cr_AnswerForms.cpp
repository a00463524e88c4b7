#include "scripted_stand_in/answer/cr_AnswerForms.h"

#include <ostream>
#include <utility>

namespace cr {

namespace {

using std::string_literals::operator""s;

constexpr auto kKeep = ConnectionEnding::Keep;
constexpr auto kFinish = ConnectionEnding::Finish;
constexpr auto kReset = ConnectionEnding::Reset;

/* Builds responses around the same header fields. */
class FormList
{
public:
  explicit FormList(std::string_view aFields)
    : m_fields(aFields)
  {
  }

  /* Adds a response with the start line "VERSION STATUS", fields before and
     after the common ones, and everything after the header. */
  void Add(std::string aName,
           const std::string& aStartLine,
           const std::string& aFields,
           const std::string& aRest,
           ConnectionEnding aEnding = kKeep)
  {
    m_forms.push_back(
      { std::move(aName),
        aStartLine + "\r\n" + m_fields + aFields + "\r\n" + aRest,
        aEnding });
  }

  /* Adds a response with status 200, a length and the whole body. */
  void AddWithLength(std::string aName, const std::string& aFields)
  {
    Add(std::move(aName), kOk, aFields + kLength, kBody);
  }

  /* Adds a response with status 200 and a chunked body. */
  void AddChunked(std::string aName,
                  const std::string& aRest,
                  ConnectionEnding aEnding = kKeep)
  {
    Add(std::move(aName), kOk, kChunked, aRest, aEnding);
  }

  void AddBytes(std::string aName,
                std::string aBytes,
                ConnectionEnding aEnding = kKeep)
  {
    m_forms.push_back({ std::move(aName), std::move(aBytes), aEnding });
  }

  std::vector<AnswerForm> Take() { return std::move(m_forms); }

  const std::string& Fields() const { return m_fields; }

  inline static const std::string kOk = "HTTP/1.1 200 OK";
  inline static const std::string kLength = "Content-Length: 5\r\n";
  inline static const std::string kChunked = "Transfer-Encoding: chunked\r\n";
  inline static const std::string kBody{ kFormBody };

private:
  std::string m_fields;
  std::vector<AnswerForm> m_forms;
};

void
AddBrokenStatuses(FormList& aForms)
{
  for (const char* status : { "000", "001", "099", "101", "600", "999" }) {
    aForms.Add("Status"s + status,
               "HTTP/1.1 "s + status + " X",
               FormList::kLength,
               FormList::kBody);
  }
  aForms.Add(
    "Status000WithoutLength", "HTTP/1.1 000 X", "", FormList::kBody, kFinish);
  aForms.Add("Status000ThenAnotherAnswer",
             "HTTP/1.1 000 X",
             "Content-Length: 0\r\n",
             FormList::kOk + "\r\n" + aForms.Fields() + FormList::kLength +
               "\r\n" + FormList::kBody);
  const std::vector<std::pair<const char*, const char*>> startLines = {
    { "StatusOfTwoDigits", "HTTP/1.1 20 OK" },
    { "StatusOfFourDigits", "HTTP/1.1 2000 OK" },
    { "StatusWithLeadingZero", "HTTP/1.1 0200 OK" },
    { "StatusWithSign", "HTTP/1.1 +20 OK" },
    { "StatusWithLetter", "HTTP/1.1 2o0 OK" },
    { "StatusAfterTwoBlanks", "HTTP/1.1  200 OK" },
    { "StatusMissing", "HTTP/1.1" },
    { "ReasonWithControlByte", "HTTP/1.1 200 O\x01K" },
    { "ReasonWithBareCarriageReturn", "HTTP/1.1 200 O\rK" },
    { "Version12", "HTTP/1.2 200 OK" },
    { "Version20", "HTTP/2.0 200 OK" },
    { "VersionInLowerCase", "http/1.1 200 OK" },
    { "BlankBeforeVersion", " HTTP/1.1 200 OK" },
    { "EmptyLineBeforeVersion", "\r\nHTTP/1.1 200 OK" }
  };
  for (const auto& [name, line] : startLines) {
    aForms.Add(name, line, FormList::kLength, FormList::kBody);
  }
}

void
AddBrokenFields(FormList& aForms)
{
  const std::vector<std::pair<const char*, std::string>> fields = {
    { "NameWithBlank", "Bad Name: x\r\n" },
    { "NameWithTab", "Bad\tName: x\r\n" },
    { "NameWithBlankAtEnd", "Name : x\r\n" },
    { "NameWithTabAtEnd", "Name\t: x\r\n" },
    { "NameWithBlankAtStart", " Name: x\r\n" },
    { "NameWithTabAtStart", "\tName: x\r\n" },
    { "NameWithControlByte", "Na\x01me: x\r\n" },
    { "NameWithNull", "Na\0me: x\r\n"s },
    { "NameWithDelete", "Na\x7fme: x\r\n" },
    { "NameWithEscape", "Na\x1bme: x\r\n" },
    { "NameWithHighByte", "Na\xc3me: x\r\n" },
    { "NameEmpty", ": x\r\n" },
    { "LineWithoutColon", "Name\r\n" },
    { "LineOfBlanks", "  \r\n" },
    { "FoldedLine", "Name: x\r\n y\r\n" },
    { "FoldedLineWithTab", "Name: x\r\n\ty\r\n" },
    { "FoldedEmptyValue", "Name:\r\n x\r\n" },
    { "FoldedIntoNothing", "Name: x\r\n \r\n" },
    { "ValueWithControlByte", "Name: x\x01y\r\n" },
    { "ValueWithNull", "Name: x\0y\r\n"s },
    { "ValueWithDelete", "Name: x\x7fy\r\n" },
    { "ValueWithBareCarriageReturn", "Name: x\ry\r\n" },
    { "LineEndsInBareCarriageReturn", "Name: x\rOther: y\r\n" },
    { "LineEndsInBareLineFeed", "Name: x\nOther: y\r\n" }
  };
  for (const auto& [name, field] : fields) {
    aForms.AddWithLength(name, field);
  }
  const std::string& ok = FormList::kOk;
  const std::string afterBlank = "Name: x\r\n" + aForms.Fields() +
                                 FormList::kLength + "\r\n" + FormList::kBody;
  // The first line has no line before it to continue.
  for (const auto& [name, blank] :
       { std::pair{ "FirstNameWithBlankAtStart", " " },
         std::pair{ "FirstNameWithTabAtStart", "\t" } }) {
    std::string bytes = ok;
    aForms.AddBytes(name,
                    bytes.append("\r\n").append(blank).append(afterBlank));
  }
  aForms.Add("FoldedLength",
             ok,
             "Name: x\r\n Content-Length: 5\r\n",
             FormList::kBody,
             kFinish);
  aForms.Add("FoldedCoding",
             ok,
             "Name: x\r\n Transfer-Encoding: chunked\r\n",
             "5\r\nwhole\r\n0\r\n\r\n",
             kFinish);
  aForms.AddBytes("HeadEndsInBareLineFeeds",
                  "HTTP/1.1 200 OK\n" + aForms.Fields() +
                    "Content-Length: 5\n\n" + FormList::kBody,
                  kFinish);
}

void
AddBrokenLengths(FormList& aForms)
{
  const std::vector<std::pair<const char*, const char*>> lengths = {
    { "LengthTwice", "Content-Length: 5\r\nContent-Length: 5\r\n" },
    { "LengthTwiceInOneLine", "Content-Length: 5, 5\r\n" },
    { "TwoLengths", "Content-Length: 5\r\nContent-Length: 4\r\n" },
    { "TwoLengthsInOneLine", "Content-Length: 5, 4\r\n" },
    { "LengthNegative", "Content-Length: -5\r\n" },
    { "LengthWithSign", "Content-Length: +5\r\n" },
    { "LengthWithText", "Content-Length: 5x\r\n" },
    { "LengthHexadecimal", "Content-Length: 0x5\r\n" },
    { "LengthEmpty", "Content-Length:\r\n" },
    { "LengthWithComma", "Content-Length: 5,\r\n" },
    { "LengthBeyondRange", "Content-Length: 18446744073709551621\r\n" },
    { "LengthThenCoding",
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n" },
    { "CodingThenLength",
      "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n" },
    { "LengthThenOtherCoding",
      "Content-Length: 5\r\nTransfer-Encoding: gzip\r\n" }
  };
  for (const auto& [name, length] : lengths) {
    aForms.Add(name, FormList::kOk, length, FormList::kBody, kFinish);
  }
  for (const auto& [name, ending] :
       { std::pair{ "Finish", kFinish }, std::pair{ "Reset", kReset } }) {
    aForms.Add("LengthLongThen"s + name,
               FormList::kOk,
               "Content-Length: 10\r\n",
               FormList::kBody,
               ending);
  }
}

void
AddBrokenCodings(FormList& aForms)
{
  const std::string chunks = "5\r\nwhole\r\n0\r\n\r\n";
  for (const auto& [name, coding] :
       std::vector<std::pair<const char*, const char*>>{
         { "CodingOther", "gzip" },
         { "CodingUnknown", "xchunked" },
         { "CodingIdentity", "identity" },
         { "CodingEmpty", "" },
         { "CodingAfterChunked", "chunked, gzip" },
         { "CodingBeforeChunked", "gzip, chunked" },
         { "CodingWithParameter", "chunked;x=1" },
         { "CodingTwice", "chunked, chunked" } }) {
    aForms.Add(name,
               FormList::kOk,
               "Transfer-Encoding: "s + coding + "\r\n",
               chunks,
               kFinish);
  }
  aForms.Add("CodingInTwoLines",
             FormList::kOk,
             FormList::kChunked + FormList::kChunked,
             chunks,
             kFinish);
  aForms.Add(
    "CodingInHttp10", "HTTP/1.0 200 OK", FormList::kChunked, chunks, kFinish);
  for (const auto& [name, body] :
       std::vector<std::pair<const char*, std::string>>{
         { "ChunkSizeEmpty", "\r\nwhole\r\n0\r\n\r\n" },
         { "ChunkSizeNoNumber", "x\r\nwhole\r\n0\r\n\r\n" },
         { "ChunkSizeNegative", "-5\r\nwhole\r\n0\r\n\r\n" },
         { "ChunkSizeWithPrefix", "0x5\r\nwhole\r\n0\r\n\r\n" },
         { "ChunkSizeBeyondRange", "10000000000000005\r\nwhole\r\n0\r\n\r\n" },
         { "ChunkSizeWithBareLineFeed", "5\nwhole\r\n0\r\n\r\n" },
         { "ChunkShorterThanItsData", "4\r\nwhole\r\n0\r\n\r\n" },
         { "ChunkLongerThanItsData", "6\r\nwhole\r\n0\r\n\r\n" },
         { "ChunkExtensionMalformed", "5;=x\r\nwhole\r\n0\r\n\r\n" },
         { "TrailerMalformed", "5\r\nwhole\r\n0\r\nBad Name: x\r\n\r\n" } }) {
    aForms.AddChunked(name, body, kFinish);
  }
}

void
AddCutAnswers(FormList& aForms)
{
  const std::string chunks = "5\r\nwhole\r\n0\r\nName: x\r\n\r\n";
  for (const auto& [name, ending] :
       { std::pair{ "Finish", kFinish }, std::pair{ "Reset", kReset } }) {
    for (std::size_t size = 0; size < chunks.size(); ++size) {
      aForms.AddChunked("ChunksCutAt"s + std::to_string(size) + "Then" + name,
                        chunks.substr(0, size),
                        ending);
    }
    aForms.AddBytes("HeadCutInStatusThen"s + name, "HTTP/1.1 20", ending);
    aForms.AddBytes("HeadCutInFieldThen"s + name,
                    FormList::kOk + "\r\n" + aForms.Fields() + "Nam",
                    ending);
    aForms.AddBytes("HeadCutBeforeItsEndThen"s + name,
                    FormList::kOk + "\r\n" + aForms.Fields() + "\r",
                    ending);
  }
  aForms.Add("NoLengthThenReset", FormList::kOk, "", "who", kReset);
  aForms.Add("Http10ThenReset", "HTTP/1.0 200 OK", "", "who", kReset);
  aForms.Add("NoLengthNoBodyThenReset", FormList::kOk, "", "", kReset);
}

}

ScriptedAnswer
MakeAnswer(const AnswerForm& aForm)
{
  ScriptedAnswer answer;
  answer.m_bytes = aForm.m_bytes;
  answer.m_ending = aForm.m_ending;
  return answer;
}

void
PrintTo(const AnswerForm& aForm, std::ostream* aStream)
{
  *aStream << aForm.m_name;
}

std::vector<AnswerForm>
SoundAnswers(std::string_view aFields)
{
  FormList forms(aFields);
  const std::string& ok = FormList::kOk;
  const std::string& body = FormList::kBody;
  const std::string whole =
    ok + "\r\n" + forms.Fields() + FormList::kLength + "\r\n" + body;
  forms.AddWithLength("Length", "");
  forms.Add("LengthThenReset", ok, FormList::kLength, body, kReset);
  forms.Add("LengthWithLeadingZeros", ok, "Content-Length: 005\r\n", body);
  forms.Add("NoLength", ok, "", body, kFinish);
  forms.Add("Http10", "HTTP/1.0 200 OK", FormList::kLength, body, kFinish);
  forms.Add("Http10NoLength", "HTTP/1.0 200 OK", "", body, kFinish);
  forms.Add("ReasonEmpty", "HTTP/1.1 200 ", FormList::kLength, body);
  forms.Add("Status299", "HTTP/1.1 299 X", FormList::kLength, body);
  forms.Add("Status404", "HTTP/1.1 404 X", FormList::kLength, body);
  forms.Add("Status500", "HTTP/1.1 500 X", FormList::kLength, body);
  forms.Add("Status599", "HTTP/1.1 599 X", FormList::kLength, body);
  forms.AddWithLength("ValueEmpty", "Name:\r\n");
  forms.AddWithLength("ValueWithBlanksAround", "Name: \t x y \t\r\n");
  forms.AddWithLength("ValueWithHighBytes", "Name: \xc3\xa4\r\n");
  forms.AddWithLength("NameWithAllSymbols", "!#$%&'*+-.^_`|~9: x\r\n");
  forms.AddWithLength("ConnectionClose", "Connection: close\r\n");
  forms.AddChunked("Chunked", "5\r\nwhole\r\n0\r\n\r\n");
  forms.AddChunked("ChunkedThenReset", "5\r\nwhole\r\n0\r\n\r\n", kReset);
  forms.AddChunked("TwoChunks", "2\r\nwh\r\n3\r\nole\r\n00\r\n\r\n");
  forms.AddChunked("ChunkExtension", "5;a=\"b c\"\r\nwhole\r\n0;d\r\n\r\n");
  forms.AddChunked("Trailer", "5\r\nwhole\r\n0\r\nName: x\r\n\r\n");
  forms.Add("ChunkedInUpperCase",
            ok,
            "TRANSFER-ENCODING: Chunked\r\n",
            "5\r\nwhole\r\n0\r\n\r\n");
  forms.AddBytes("AfterInformationalAnswers",
                 "HTTP/1.1 100 Continue\r\n\r\n"
                 "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                   whole);
  return forms.Take();
}

std::vector<AnswerForm>
BrokenAnswers(std::string_view aFields)
{
  FormList forms(aFields);
  AddBrokenStatuses(forms);
  AddBrokenFields(forms);
  AddBrokenLengths(forms);
  AddBrokenCodings(forms);
  AddCutAnswers(forms);
  return forms.Take();
}

}
