#include "loop/fatal_signal.h"

#include "base/event_log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <bit>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <climits>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <pthread.h>
#include <span>
#include <ucontext.h>
#include <unistd.h>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Room for the unwinder and for signal frames with the widest vector registers.
    constexpr std::size_t alternateStackBytes = 256 * 1024;
    // More frames than most stacks of 8 MB hold, so that the outermost ones of a recursion are found.
    constexpr std::size_t maxFrames = 128 * 1024;
    constexpr std::size_t innermostFrames = 48;
    constexpr std::size_t outermostFrames = 16;
    constexpr std::size_t maxModules = 96;
    constexpr std::size_t maxModuleName = 32;
    constexpr std::size_t maxBuildId = 20;
    constexpr std::size_t maxInstance = 64;
    constexpr std::size_t maxExceptionText = 128;
    // All waiting for a reader of the log.
    constexpr std::chrono::milliseconds maxWriteWait = 100ms;
    // A second thread with a fatal signal lets the first finish its line.
    constexpr std::chrono::milliseconds otherThreadWait = 1s;
    // A fault so near to the stack pointer is one of the stack's own growth.
    constexpr std::uintptr_t stackReach = 64 * 1024;

    struct SignalName {
        int number_;
        std::string_view name_;
    };

    constexpr std::array signalNames {
        SignalName { SIGSEGV, "SIGSEGV" },
        SignalName { SIGBUS, "SIGBUS" },
        SignalName { SIGFPE, "SIGFPE" },
        SignalName { SIGILL, "SIGILL" },
        SignalName { SIGABRT, "SIGABRT" },
    };

    // Text of fixed capacity. What does not fit is left out.
    template <std::size_t capacity>
    class FixedText {
    public:
        auto add(std::string_view text) -> void
        {
            const auto count = std::min(text.size(), capacity - size_);
            std::memcpy(bytes_.data() + size_, text.data(), count);
            size_ += count;
        }
        auto addNumber(std::uint64_t value, int base = 10, std::size_t width = 1) -> void
        {
            std::array<char, 20> digits {};
            const auto* end = std::to_chars(digits.data(), digits.data() + digits.size(), value, base).ptr;
            const auto count = static_cast<std::size_t>(end - digits.data());
            for (auto i = count; i < width; ++i)
                add("0");
            add({ digits.data(), count });
        }
        auto addHex(std::uint64_t value) -> void
        {
            add("0x");
            addNumber(value, 16);
        }
        // Bytes that JSON strings cannot hold as they are become question marks.
        auto addQuoted(std::string_view text) -> void
        {
            add("\"");
            for (const char byte : text) {
                if (byte == '"' || byte == '\\')
                    add("\\");
                add(byte >= ' ' && byte <= '~' ? std::string_view(&byte, 1) : "?");
            }
            add("\"");
        }
        auto clear() -> void { size_ = 0; }
        auto view() const -> std::string_view { return { bytes_.data(), size_ }; }

    private:
        std::array<char, capacity> bytes_ {};
        std::size_t size_ = 0;
    };

    struct Module {
        std::uintptr_t base_ = 0;
        std::uintptr_t end_ = 0;
        FixedText<maxModuleName> name_;
    };

    struct Cause {
        int number_ = 0;
        int code_ = 0;
        // Of a fault of the processor, not of a signal that was sent.
        bool isFault_ = false;
        std::uintptr_t address_ = 0;
        std::uintptr_t instruction_ = 0;
        std::uintptr_t stackPointer_ = 0;
    };

    struct Stack {
        // The instruction and its callers, innermost first.
        std::span<void*> frames_;
        bool isCut_ = false;
    };

    // All that the handler uses. Filled at the start, as a handler must not allocate.
    struct State {
        int handle_ = -1;
        FixedText<256 + 2 * maxInstance> head_;
        FixedText<2 * maxBuildId> build_;
        std::array<Module, maxModules> modules_;
        std::size_t moduleCount_ = 0;
        FixedText<maxExceptionText> exception_;
        std::terminate_handler previousTerminate_ = nullptr;
        std::atomic<const LineLog*> pending_ { nullptr };

        std::atomic<bool> isTaken_ { false };
        pthread_t reporter_ {};
        // Signals that the reporting thread got.
        volatile std::sig_atomic_t entries_ = 0;
        Cause cause_;
        Stack stack_;
        // The instruction and its caller, where the stack cannot be read.
        std::array<void*, 2> fewFrames_ {};
        std::chrono::milliseconds waitLeft_ = maxWriteWait;
        FixedText<PIPE_BUF> line_;
    };

    // Never destroyed: a signal may come while static objects are.
    State state;
    std::array<void*, maxFrames> frameRoom;
    alignas(16) std::array<std::byte, alternateStackBytes> alternateStack;

    auto signalName(int number) -> std::string_view
    {
        for (const auto& known : signalNames) {
            if (known.number_ == number)
                return known.name_;
        }
        return "other";
    }

    auto addTime(FixedText<PIPE_BUF>& line) -> void
    {
        timespec time {};
        ::clock_gettime(CLOCK_REALTIME, &time);
        const std::chrono::sys_seconds seconds { std::chrono::seconds(time.tv_sec) };
        const auto day = std::chrono::floor<std::chrono::days>(seconds);
        const std::chrono::year_month_day date(day);
        const auto ofDay = (seconds - day).count();
        line.addNumber(static_cast<std::uint64_t>(static_cast<int>(date.year())), 10, 4);
        line.add("-");
        line.addNumber(static_cast<unsigned>(date.month()), 10, 2);
        line.add("-");
        line.addNumber(static_cast<unsigned>(date.day()), 10, 2);
        line.add("T");
        line.addNumber(static_cast<std::uint64_t>(ofDay / 3600), 10, 2);
        line.add(":");
        line.addNumber(static_cast<std::uint64_t>(ofDay / 60 % 60), 10, 2);
        line.add(":");
        line.addNumber(static_cast<std::uint64_t>(ofDay % 60), 10, 2);
        line.add(".");
        line.addNumber(static_cast<std::uint64_t>(time.tv_nsec / 1'000'000), 10, 3);
        line.add("Z");
    }

    // A frame as the offset that addr2line takes, or as an address if its module is not known.
    auto addFrame(FixedText<PIPE_BUF>& line, std::uintptr_t address) -> void
    {
        const std::span modules(state.modules_.data(), state.moduleCount_);
        const auto module = std::find_if(modules.begin(), modules.end(), [address](const Module& each) { return address >= each.base_ && address < each.end_; });
        line.add("\"");
        if (module != modules.end()) {
            line.add(module->name_.view());
            line.add("+");
        }
        line.addHex(module != modules.end() ? address - module->base_ : address);
        line.add("\"");
    }

    // Callers are shown one byte before the address they return to, which is within the call.
    auto addFrames(FixedText<PIPE_BUF>& line, std::string_view name, std::size_t first, std::size_t count) -> void
    {
        line.add(name);
        line.add("[");
        for (auto i = first; i < first + count; ++i) {
            if (i > first)
                line.add(",");
            const auto address = reinterpret_cast<std::uintptr_t>(state.stack_.frames_[i]);
            addFrame(line, i == 0 || address == 0 ? address : address - 1);
        }
        line.add("]");
    }

    auto isStackOverflow(const Cause& cause) -> bool
    {
        const auto distance = cause.address_ > cause.stackPointer_ ? cause.address_ - cause.stackPointer_ : cause.stackPointer_ - cause.address_;
        return cause.isFault_ && (cause.number_ == SIGSEGV || cause.number_ == SIGBUS) && distance < stackReach;
    }

    auto addBool(FixedText<PIPE_BUF>& line, std::string_view name, bool value) -> void
    {
        line.add(name);
        line.add(value ? "true" : "false");
    }

    auto addCause(FixedText<PIPE_BUF>& line, const Cause& cause) -> void
    {
        line.add(",\"signal\":");
        line.addNumber(static_cast<std::uint64_t>(cause.number_));
        line.add(",\"signal_name\":");
        line.addQuoted(signalName(cause.number_));
        line.add(",\"code\":");
        line.add(cause.code_ < 0 ? "-" : "");
        line.addNumber(static_cast<std::uint64_t>(std::abs(cause.code_)));
        if (cause.isFault_) {
            line.add(",\"address\":\"");
            line.addHex(cause.address_);
            line.add("\"");
        }
        addBool(line, ",\"stack_overflow\":", isStackOverflow(cause));
        if (!state.exception_.view().empty()) {
            line.add(",\"exception\":");
            line.addQuoted(state.exception_.view());
        }
    }

    auto addStack(FixedText<PIPE_BUF>& line) -> void
    {
        const auto count = state.stack_.frames_.size();
        const auto first = std::min(count, innermostFrames);
        const auto last = state.stack_.isCut_ ? 0 : std::min(count - first, outermostFrames);
        line.add(",\"frames\":");
        line.addNumber(count);
        addBool(line, ",\"frames_cut\":", state.stack_.isCut_);
        addFrames(line, ",\"stack\":", 0, first);
        addFrames(line, ",\"outermost\":", count - last, last);
    }

    // Begins on a new line if the last one could not be written whole.
    auto composeLine(bool isLastWhole) -> void
    {
        auto& line = state.line_;
        line.clear();
        line.add(isLastWhole ? "" : "\n");
        line.add("{\"time\":\"");
        addTime(line);
        line.add(state.head_.view());
        addCause(line, state.cause_);
        addStack(line);
        line.add("}\n");
    }

    auto elapsedSince(const timespec& start) -> std::chrono::milliseconds
    {
        timespec now {};
        ::clock_gettime(CLOCK_MONOTONIC, &now);
        return std::chrono::milliseconds((now.tv_sec - start.tv_sec) * 1'000 + (now.tv_nsec - start.tv_nsec) / 1'000'000);
    }

    auto awaitWritable() -> bool
    {
        pollfd entry { state.handle_, POLLOUT, 0 };
        timespec start {};
        ::clock_gettime(CLOCK_MONOTONIC, &start);
        const int ready = ::poll(&entry, 1, static_cast<int>(state.waitLeft_.count()));
        state.waitLeft_ = std::max(0ms, state.waitLeft_ - elapsedSince(start));
        return ready == 1 && (entry.revents & POLLOUT) != 0;
    }

    // A handle that polls writable takes PIPE_BUF bytes without blocking.
    auto writeText(std::string_view text) -> bool
    {
        while (!text.empty() && awaitWritable()) {
            const auto count = ::write(state.handle_, text.data(), std::min<std::size_t>(PIPE_BUF, text.size()));
            if (count <= 0)
                return false;
            text.remove_prefix(static_cast<std::size_t>(count));
        }
        return text.empty();
    }

    auto readCause(int number, const siginfo_t& info, const ucontext_t& context) -> Cause
    {
        Cause cause { number, info.si_code, info.si_code > 0, 0, 0, 0 };
        if (cause.isFault_)
            cause.address_ = reinterpret_cast<std::uintptr_t>(info.si_addr);
#if defined(__x86_64__)
        cause.instruction_ = static_cast<std::uintptr_t>(context.uc_mcontext.gregs[REG_RIP]);
        cause.stackPointer_ = static_cast<std::uintptr_t>(context.uc_mcontext.gregs[REG_RSP]);
#elif defined(__aarch64__)
        cause.instruction_ = context.uc_mcontext.pc;
        cause.stackPointer_ = context.uc_mcontext.sp;
#endif
        return cause;
    }

    // Where the instruction returns to if it is the first of a function, as after a call of an invalid pointer.
    auto readReturnAddress([[maybe_unused]] const ucontext_t& context) -> void*
    {
#if defined(__x86_64__)
        return *std::bit_cast<void**>(static_cast<std::uintptr_t>(context.uc_mcontext.gregs[REG_RSP]));
#elif defined(__aarch64__)
        return std::bit_cast<void*>(static_cast<std::uintptr_t>(context.uc_mcontext.regs[30]));
#else
        return nullptr;
#endif
    }

    // The frames of the handler come first and are left out.
    auto readStack(const ucontext_t& context) -> void
    {
        auto* const instruction = std::bit_cast<void*>(state.cause_.instruction_);
        state.fewFrames_[0] = instruction;
        state.stack_ = { std::span(state.fewFrames_).first(1), false };
        const auto count = static_cast<std::size_t>(::backtrace(frameRoom.data(), static_cast<int>(maxFrames)));
        const std::span found(frameRoom.data(), count);
        const auto start = std::find(found.begin(), found.end(), instruction);
        // A single frame is that of an invalid instruction address, which cannot be unwound.
        if (found.end() - start > 1) {
            state.stack_ = { { start, found.end() }, count == maxFrames };
            return;
        }
        state.fewFrames_[1] = readReturnAddress(context);
        state.stack_ = { state.fewFrames_, false };
    }

    auto restoreDefault(int number) -> void
    {
        struct sigaction defaultAction { };
        defaultAction.sa_handler = SIG_DFL;
        ::sigaction(number, &defaultAction, nullptr);
    }

    // A fault comes again when the handler returns, so that a core dump shows its registers; a signal that was sent does not.
    auto endProcess(bool isRepeated) -> void
    {
        restoreDefault(state.cause_.number_);
        if (isRepeated)
            return;
        ::raise(state.cause_.number_);
        ::_exit(128 + state.cause_.number_);
    }

    auto report() -> void
    {
        const auto* log = state.pending_.exchange(nullptr);
        composeLine(log == nullptr ? state.entries_ == 1 : writeText(log->pending()));
        writeText(state.line_.view());
    }

    auto onFatalSignal(int number, siginfo_t* info, void* opaque) -> void
    {
        const auto& context = *static_cast<const ucontext_t*>(opaque);
        if (!state.isTaken_.exchange(true)) {
            state.reporter_ = ::pthread_self();
        } else if (::pthread_equal(state.reporter_, ::pthread_self()) == 0) {
            ::poll(nullptr, 0, static_cast<int>(otherThreadWait / 1ms));
            endProcess(false);
        }
        state.entries_ = state.entries_ + 1;
        if (state.entries_ == 1) {
            state.cause_ = readCause(number, *info, context);
            readStack(context);
            report();
            endProcess(state.cause_.isFault_);
            return;
        }
        // A fault of the handler itself. The first is likely one of a damaged stack: the cause is logged with what was found.
        if (state.entries_ == 2)
            report();
        endProcess(false);
    }

    // The text of an exception is gone from the log otherwise, as it is written to standard error.
    auto onTerminate() -> void
    {
        try {
            if (const auto thrown = std::current_exception())
                std::rethrow_exception(thrown);
        } catch (const std::exception& error) {
            state.exception_.add(error.what());
        } catch (...) {
            state.exception_.add("not a std::exception");
        }
        state.previousTerminate_();
    }

    auto addBuildId(std::span<const char> notes) -> void
    {
        while (notes.size() >= sizeof(ElfW(Nhdr))) {
            ElfW(Nhdr) note {};
            std::memcpy(&note, notes.data(), sizeof(note));
            const auto nameBytes = (note.n_namesz + 3U) & ~3U;
            const auto size = sizeof(note) + nameBytes + ((note.n_descsz + 3U) & ~3U);
            if (size > notes.size())
                return;
            const auto id = notes.subspan(sizeof(note) + nameBytes, std::min<std::size_t>(note.n_descsz, maxBuildId));
            if (note.n_type == NT_GNU_BUILD_ID && std::string_view(notes.data() + sizeof(note), note.n_namesz).starts_with("GNU")) {
                for (const char byte : id)
                    state.build_.addNumber(static_cast<unsigned char>(byte), 16, 2);
                return;
            }
            notes = notes.subspan(size);
        }
    }

    auto moduleName(const dl_phdr_info& info, bool isProgram) -> std::string_view
    {
        const std::string_view path(isProgram ? program_invocation_short_name : info.dlpi_name);
        return path.substr(path.rfind('/') + 1);
    }

    // The program itself comes first.
    auto addModule(dl_phdr_info* info, std::size_t, void*) -> int
    {
        const bool isProgram = state.moduleCount_ == 0;
        auto& module = state.modules_.at(state.moduleCount_++);
        module.base_ = info->dlpi_addr;
        module.end_ = info->dlpi_addr;
        module.name_.add(moduleName(*info, isProgram));
        for (const auto& part : std::span(info->dlpi_phdr, info->dlpi_phnum)) {
            const std::uintptr_t start = info->dlpi_addr + part.p_vaddr;
            if (part.p_type == PT_LOAD)
                module.end_ = std::max<std::uintptr_t>(module.end_, start + part.p_memsz);
            if (isProgram && part.p_type == PT_NOTE && state.build_.view().empty())
                addBuildId({ std::bit_cast<const char*>(start), part.p_memsz });
        }
        return state.moduleCount_ == maxModules ? 1 : 0;
    }

    auto composeHead(std::string_view instance) -> void
    {
        const auto& event = describeEvent(EventId::FatalSignal);
        auto& head = state.head_;
        head.add("\",\"level\":");
        head.addQuoted(logLevelName(event.level_));
        head.add(",\"event\":");
        head.addNumber(static_cast<std::uint64_t>(event.id_));
        head.add(",\"name\":");
        head.addQuoted(event.name_);
        head.add(",\"instance\":");
        head.addQuoted(instance.substr(0, maxInstance));
        head.add(",\"build\":");
        head.addQuoted(state.build_.view());
    }

    auto setHandlers() -> void
    {
        stack_t stack {};
        stack.ss_sp = alternateStack.data();
        stack.ss_size = alternateStack.size();
        ::sigaltstack(&stack, nullptr);
        struct sigaction action { };
        action.sa_sigaction = onFatalSignal;
        // SA_NODEFER: a fault of the handler comes to it too.
        action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_NODEFER;
        for (const auto& signal : signalNames)
            ::sigaction(signal.number_, &action, nullptr);
    }
}

auto FatalSignalLog::install(int handle, const std::string& instance) -> void
{
    if (state.handle_ >= 0)
        return;
    state.handle_ = handle;
    ::dl_iterate_phdr(addModule, nullptr);
    composeHead(instance);
    // The first call loads the unwinder, which allocates.
    std::array<void*, 4> frames {};
    ::backtrace(frames.data(), static_cast<int>(frames.size()));
    state.previousTerminate_ = std::set_terminate(onTerminate);
    setHandlers();
}

FatalSignalPendingLines::FatalSignalPendingLines(const LineLog& log)
{
    state.pending_ = &log;
}

FatalSignalPendingLines::~FatalSignalPendingLines()
{
    state.pending_ = nullptr;
}

} // namespace sapphirepass
