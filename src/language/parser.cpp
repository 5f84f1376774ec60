#include "language/parser.h"

#include "base/texts.h"

#include <charconv>
#include <fmt/format.h>
#include <tao/pegtl.hpp>

namespace sapphirepass {

namespace {
    namespace pegtl = tao::pegtl;

    // Grammar. must<> raises an error where the rule fails; expected<Rule> describes what was expected there.
    struct Comment : pegtl::seq<pegtl::one<'#'>, pegtl::star<pegtl::not_one<'\n'>>> { };
    struct Blank : pegtl::one<' ', '\t', '\r'> { };
    struct Blanks : pegtl::plus<Blank> { };
    struct MaybeBlanks : pegtl::star<Blank> { };
    struct Separator : pegtl::one<';', '\n'> { };
    struct BareCharacter : pegtl::sor<pegtl::alnum, pegtl::one<'-', '_', '.', ':', '/', '+', '%', '@', '*'>> { };
    struct BareWord : pegtl::plus<BareCharacter> { };
    struct QuotedText : pegtl::star<pegtl::not_one<'"', '\n'>> { };
    struct ClosingQuote : pegtl::one<'"'> { };
    struct Quoted : pegtl::if_must<pegtl::one<'"'>, QuotedText, ClosingQuote> { };
    struct Value : pegtl::sor<Quoted, BareWord> { };

    template <char... C>
    struct Keyword : pegtl::seq<pegtl::string<C...>, pegtl::not_at<BareCharacter>> {
    };

    struct Verb : pegtl::sor<Keyword<'d', 'e', 'c', 'l', 'a', 'r', 'e'>, Keyword<'c', 'h', 'a', 'n', 'g', 'e'>, Keyword<'r', 'e', 't', 'i', 'r', 'e'>,
                      Keyword<'i', 's', 's', 'u', 'e'>, Keyword<'w', 'i', 't', 'h', 'd', 'r', 'a', 'w'>> { };
    struct KindWord : BareWord { };
    struct NameWord : Value { };
    struct Force : Keyword<'f', 'o', 'r', 'c', 'e'> { };
    struct FieldWord : pegtl::seq<pegtl::not_at<Force>, BareWord> { };
    struct FieldValue : Value { };
    struct FieldPair : pegtl::if_must<FieldWord, Blanks, FieldValue> { };
    struct StatementEnd : pegtl::seq<MaybeBlanks, pegtl::at<pegtl::sor<Separator, Comment, pegtl::eof>>> { };
    struct CommandRule : pegtl::if_must<Verb, Blanks, KindWord, Blanks, NameWord, pegtl::opt<Blanks, Force>, pegtl::star<Blanks, FieldPair>, StatementEnd> { };

    struct Show : Keyword<'s', 'h', 'o', 'w'> { };
    struct SubjectWord : BareWord { };
    struct ConditionField : BareWord { };
    struct Operator : pegtl::sor<pegtl::string<'!', '='>, pegtl::string<'<', '='>, pegtl::string<'>', '='>, pegtl::one<'=', '<', '>', '~'>> { };
    struct ConditionValue : Value { };
    struct ConditionRule : pegtl::seq<ConditionField, MaybeBlanks, Operator, MaybeBlanks, ConditionValue> { };
    struct Where : Keyword<'w', 'h', 'e', 'r', 'e'> { };
    struct And : Keyword<'a', 'n', 'd'> { };
    struct Or : Keyword<'o', 'r'> { };
    struct WherePart : pegtl::if_must<Where, Blanks, ConditionRule, pegtl::star<pegtl::seq<Blanks, pegtl::sor<And, Or>>, pegtl::must<Blanks, ConditionRule>>> { };
    struct Sort : Keyword<'s', 'o', 'r', 't'> { };
    struct SortField : BareWord { };
    struct Descending : Keyword<'d', 'e', 's', 'c'> { };
    struct SortPart : pegtl::if_must<Sort, Blanks, SortField, pegtl::opt<Blanks, Descending>> { };
    struct Limit : Keyword<'l', 'i', 'm', 'i', 't'> { };
    struct LimitCount : pegtl::rep_min_max<1, 9, pegtl::digit> { };
    struct LimitPart : pegtl::if_must<Limit, Blanks, LimitCount> { };
    struct QueryRule : pegtl::if_must<Show, Blanks, SubjectWord, pegtl::opt<Blanks, WherePart>, pegtl::opt<Blanks, SortPart>, pegtl::opt<Blanks, LimitPart>, StatementEnd> { };

    struct StatementRule : pegtl::sor<CommandRule, QueryRule> { };
    struct Filler : pegtl::star<pegtl::sor<Blank, Separator, Comment>> { };
    struct InputEnd : pegtl::eof { };
    struct Grammar : pegtl::must<Filler, pegtl::star<StatementRule, Filler>, InputEnd> { };

    template <typename Rule>
    constexpr std::string_view expected = "a command or a query";
    template <>
    constexpr std::string_view expected<Blanks> = "whitespace and the next word";
    template <>
    constexpr std::string_view expected<KindWord> = "a kind, such as workspace";
    template <>
    constexpr std::string_view expected<NameWord> = "a name";
    template <>
    constexpr std::string_view expected<FieldValue> = "a value";
    template <>
    constexpr std::string_view expected<ClosingQuote> = "a closing quote";
    template <>
    constexpr std::string_view expected<StatementEnd> = "a field, ';' or the end of the line";
    template <>
    constexpr std::string_view expected<SubjectWord> = "what to show, such as workspaces";
    template <>
    constexpr std::string_view expected<ConditionRule> = "a condition, such as region = luzon";
    template <>
    constexpr std::string_view expected<SortField> = "a field to sort by";
    template <>
    constexpr std::string_view expected<LimitCount> = "a number of rows";
    template <>
    constexpr std::string_view expected<InputEnd> = "one of: declare, change, retire, issue, withdraw, show";

    template <typename Rule>
    struct Control : pegtl::normal<Rule> {
        template <typename Input, typename... States>
        static auto raise(const Input& in, States&&...) -> void
        {
            throw pegtl::parse_error(fmt::format(texts::expectedToken, expected<Rule>), in);
        }
    };

    struct Builder {
        std::vector<Statement> statements_;
        CommandStatement command_;
        QueryStatement query_;
        Attribute attribute_;
        Condition condition_;
    };

    template <typename Input>
    auto wordOf(const Input& in) -> Word
    {
        auto text = in.string();
        if (text.size() >= 2 && text.front() == '"')
            text = text.substr(1, text.size() - 2);
        const auto location = in.position();
        return { std::move(text), { location.line, location.column } };
    }

    template <typename Rule>
    struct Action : pegtl::nothing<Rule> {
    };

    template <>
    struct Action<Verb> {
        template <typename Input>
        static auto apply(const Input& in, Builder& out) -> void
        {
            out.command_ = {};
            out.command_.verb_ = wordOf(in);
        }
    };
    template <>
    struct Action<KindWord> {
        template <typename Input>
        static auto apply(const Input& in, Builder& out) -> void { out.command_.kind_ = wordOf(in); }
    };
    template <>
    struct Action<NameWord> {
        template <typename Input>
        static auto apply(const Input& in, Builder& out) -> void { out.command_.name_ = wordOf(in); }
    };
    template <>
    struct Action<Force> {
        static auto apply0(Builder& out) -> void { out.command_.force_ = true; }
    };
    template <>
    struct Action<FieldWord> {
        template <typename Input>
        static auto apply(const Input& in, Builder& out) -> void { out.attribute_.name_ = wordOf(in); }
    };
    template <>
    struct Action<FieldValue> {
        template <typename Input>
        static auto apply(const Input& in, Builder& out) -> void
        {
            out.attribute_.value_ = wordOf(in);
            out.command_.attributes_.push_back(out.attribute_);
        }
    };
    template <>
    struct Action<CommandRule> {
        static auto apply0(Builder& out) -> void { out.statements_.emplace_back(out.command_); }
    };
    template <>
    struct Action<SubjectWord> {
        template <typename Input>
        static auto apply(const Input& in, Builder& out) -> void
        {
            out.query_ = {};
            out.query_.subject_ = wordOf(in);
        }
    };
    template <>
    struct Action<Where> {
        static auto apply0(Builder& out) -> void { out.query_.anyOf_.emplace_back(); }
    };
    template <>
    struct Action<Or> {
        static auto apply0(Builder& out) -> void { out.query_.anyOf_.emplace_back(); }
    };
    template <>
    struct Action<ConditionField> {
        template <typename Input>
        static auto apply(const Input& in, Builder& out) -> void { out.condition_.field_ = wordOf(in); }
    };
    template <>
    struct Action<Operator> {
        template <typename Input>
        static auto apply(const Input& in, Builder& out) -> void { out.condition_.comparison_ = comparisonOf(in.string_view()); }

        static auto comparisonOf(std::string_view symbol) -> Comparison
        {
            if (symbol == "!=")
                return Comparison::NotEqual;
            if (symbol == "<=")
                return Comparison::AtMost;
            if (symbol == ">=")
                return Comparison::AtLeast;
            if (symbol == "<")
                return Comparison::Less;
            if (symbol == ">")
                return Comparison::Greater;
            return symbol == "~" ? Comparison::Contains : Comparison::Equal;
        }
    };
    template <>
    struct Action<ConditionValue> {
        template <typename Input>
        static auto apply(const Input& in, Builder& out) -> void
        {
            out.condition_.value_ = wordOf(in);
            out.query_.anyOf_.back().push_back(out.condition_);
        }
    };
    template <>
    struct Action<SortField> {
        template <typename Input>
        static auto apply(const Input& in, Builder& out) -> void { out.query_.sortField_ = wordOf(in); }
    };
    template <>
    struct Action<Descending> {
        static auto apply0(Builder& out) -> void { out.query_.sortOrder_ = SortOrder::Descending; }
    };
    template <>
    struct Action<LimitCount> {
        template <typename Input>
        static auto apply(const Input& in, Builder& out) -> void
        {
            const auto digits = in.string_view();
            std::from_chars(digits.data(), digits.data() + digits.size(), out.query_.limit_);
        }
    };
    template <>
    struct Action<QueryRule> {
        static auto apply0(Builder& out) -> void { out.statements_.emplace_back(out.query_); }
    };

    auto lineAt(std::string_view text, std::size_t line) -> std::string_view
    {
        for (; line > 1; --line) {
            const auto end = text.find('\n');
            if (end == std::string_view::npos)
                return {};
            text.remove_prefix(end + 1);
        }
        return text.substr(0, text.find('\n'));
    }
}

auto parseStatements(std::string_view text) -> Result<std::vector<Statement>, LanguageError>
{
    pegtl::memory_input in(text.data(), text.data() + text.size(), "input");
    Builder builder;
    try {
        pegtl::parse<Grammar, Action, Control>(in, builder);
    } catch (const pegtl::parse_error& error) {
        const auto& location = error.positions().front();
        return LanguageError { { location.line, location.column }, std::string(error.message()) };
    }
    if (builder.statements_.empty())
        return LanguageError { {}, std::string(texts::emptyInput) };
    return builder.statements_;
}

auto renderError(const LanguageError& error, std::string_view text) -> std::string
{
    const auto message = fmt::format(texts::syntaxError, error.location_.line_, error.location_.column_, error.message_);
    return fmt::format("{}\n  {}\n  {:>{}}", message, lineAt(text, error.location_.line_), '^', error.location_.column_);
}

} // namespace sapphirepass
