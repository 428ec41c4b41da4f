/// \file
/// The cases. Each returns whether its rule was broken. Included by Driver.cpp.
#pragma once

using Case = std::function<bool(std::string const &Base, bool HasTrouble)>;

constexpr auto PlainTimeout = 1000U;

/// Ordinary clients: a plain request every \p Interval ms until \p Until.
auto sendOrdinary(Site &Where, double Interval, double Until,
                  std::vector<CallPointer> &Output) -> void {
  if (now() >= Until)
    return;
  Output.push_back(Where.Clients->send("GET", "/plain/2f", PlainTimeout, ""));
  Where.Events.after(Interval, [&Where, Interval, Until, &Output] {
    sendOrdinary(Where, Interval, Until, Output);
  });
}

auto ordinaryRoutes() -> std::string {
  return route("plain", "idempotent", "app", PlainTimeout, 100,
               R"(,"max_attempts":2)");
}

auto streamRoute() -> std::string {
  return route("lm", "streaming", "lm", 8000, 1000,
               R"(,"max_attempts":2,"sticky":true,"resumable":false,)"
               R"("target_gap_ms":200)");
}

/// Clients that leave early with prompts of many parts, then one that stays.
auto runHang(std::string const &Base, bool HasTrouble) -> bool {
  auto site = Site(Base, 182);
  auto app =
      Servers(site.Events, site.Registry, "app", site.addresses(40, 4), 6,
              [](std::size_t, Message const &It) { return planPlain(It, 15); });
  auto lm = Servers(site.Events, site.Registry, "lm", site.addresses(60, 6), 64,
                    [](std::size_t, Message const &It) {
                      return planStream(It, 600, 5, 30);
                    });
  site.configure(ordinaryRoutes() + "," + streamRoute());
  site.start();
  auto const prompt = promptFields(0x100, 2700);
  auto const from = now();
  // Windows of 5.5 s in which a fifth of the clients leaves, with pauses.
  constexpr auto Windows = 7;
  constexpr auto Window = 5500.0;
  constexpr auto Pause = 1500.0;
  constexpr auto Interval = 25.0;
  auto const leavingEnds = from + Windows * (Window + Pause);
  auto const ends = leavingEnds + 22000;
  auto ordinary = std::vector<CallPointer>{};
  sendOrdinary(site, 6, ends, ordinary);
  auto early = std::vector<CallPointer>{};
  for (auto n = 0; n < Windows; ++n) {
    for (auto at = 0.0; at < Window; at += Interval)
      site.Events.after(n * (Window + Pause) + at, [&] {
        early.push_back(
            site.Clients->send("POST", "/lm/" + std::to_string(early.size()),
                               8000, prompt, HasTrouble ? 300 : 0));
      });
  }
  site.Events.run(leavingEnds);
  auto const before = countLate(ordinary, PlainTimeout, now());
  record("%8.0f ms: %zu requests with long prompts, %zu clients left; "
         "%zu ordinary requests, late at their timeout %zu; %.0f MB",
         now(), early.size(),
         static_cast<std::size_t>(
             std::count_if(early.begin(), early.end(),
                           [](auto const &it) { return it->HasLeft; })),
         ordinary.size(), before.AtTimeout, site.Process->memory("VmRSS"));
  auto const last = site.Clients->send("POST", "/lm/last", 8000, prompt);
  record("%8.0f ms: a client with the same prompt stays", now());
  site.Events.run(ends);
  auto const late = countLate(ordinary, PlainTimeout, now());
  record("%8.0f ms: its request ended after %.0f ms with status %u", now(),
         last->EndedAt - last->SentAt, last->Status);
  auto longest = 0.0;
  for (auto const &it : ordinary) {
    if (it->SentAt + PlainTimeout + 500 <= ends)
      longest = std::max(longest,
                         (it->EndedAt < 0 ? ends : it->EndedAt) - it->SentAt);
  }
  for (auto at = leavingEnds - 3000; at < ends - PlainTimeout - 500;
       at += 1000) {
    auto sent = std::size_t{0};
    auto answered = std::size_t{0};
    for (auto const &it : ordinary) {
      sent += it->SentAt >= at && it->SentAt < at + 1000 ? 1 : 0;
      answered += it->IsComplete && it->EndedAt >= at && it->EndedAt < at + 1000
                      ? 1
                      : 0;
    }
    record("%8.0f to %.0f ms: ordinary requests sent %zu, answered %zu", at,
           at + 1000, sent, answered);
  }
  record("servers received %zu ordinary requests and %zu with long prompts",
         app.Received, lm.Received);
  record("ordinary requests: %zu, of them without a final answer at the "
         "timeout %zu, half a second later %zu; the longest took %.0f ms",
         ordinary.size(), late.AtTimeout, late.HalfSecondLater, longest);
  return late.AtTimeout > 0 && 2 * late.HalfSecondLater > late.AtTimeout;
}

/// Ordinary clients with channels that they keep, and their servers.
struct KeptTraffic {
  static constexpr auto Count = 30U;

  explicit KeptTraffic(Site &Where)
      : App(Where.Events, Where.Registry, "app", Where.addresses(40, 6), 6,
            [](std::size_t, Message const &It) { return planPlain(It, 60); }) {}

  static auto routes() -> std::string {
    return route("plain", "non_idempotent", "app", 3000, 300,
                 R"(,"max_attempts":1)");
  }

  auto start(Site &Where) -> void {
    for (auto n = 0U; n < Count; ++n)
      Clients.push_back(std::make_unique<KeptClient>(
          Where.Events, Where.Process->front(), "/plain/2f", n));
  }

  [[nodiscard]] auto answered() const -> std::size_t {
    auto sum = std::size_t{0};
    for (auto const &it : Clients)
      sum += it->Answered;
    return sum;
  }

  /// Returns the number of requests that a server received and whose kept
  /// channel was closed without an answer.
  [[nodiscard]] auto lost() const -> std::size_t {
    auto count = std::size_t{0};
    for (auto const &client : Clients) {
      for (auto const &id : client->Unanswered) {
        auto const hasRun = App.Ids.contains(id);
        record("ordinary request %s: channel closed without an answer, %s",
               id.c_str(),
               hasRun ? "had reached its server" : "reached no server");
        count += hasRun ? 1 : 0;
      }
    }
    return count;
  }

  Servers App;
  std::vector<std::unique_ptr<KeptClient>> Clients;
};

/// Runs \p Where until \p Ends. As the machine does, it kills the instance once
/// that exceeds its memory. Returns the highest memory.
auto watchMemory(Site &Where, KeptTraffic const &Ordinary, double Ends)
    -> double {
  auto highest = 0.0;
  auto nextLineAt = now();
  while (now() < Ends) {
    Where.Events.run(now() + 100);
    auto const memory = Where.Process->memory("VmRSS");
    highest = std::max(highest, memory);
    if (now() >= nextLineAt || memory > Where.Memory) {
      nextLineAt += 2000;
      record("%8.0f ms: long requests sent %zu, ordinary ones answered %zu, "
             "memory %.0f MB of %u",
             now(), Where.Clients->Calls.size(), Ordinary.answered(), memory,
             Where.Memory);
    }
    if (memory <= Where.Memory)
      continue;
    record("%8.0f ms: over the limit: the machine kills the process", now());
    Where.Process->end();
    Where.Events.run(now() + 500);
    break;
  }
  return highest;
}

/// Clients that leave early; each prompt has many parts of its own.
auto runEvidence(std::string const &Base, bool HasTrouble) -> bool {
  auto site = Site(Base, 112);
  auto ordinary = KeptTraffic(site);
  auto lm = Servers(site.Events, site.Registry, "lm", site.addresses(60, 10),
                    64, [](std::size_t, Message const &It) {
                      return planStream(It, 600, 5, 30);
                    });
  site.configure(KeptTraffic::routes() + "," + streamRoute());
  site.start();
  ordinary.start(site);
  // Windows of 5.5 s in which a fifth of the clients leaves, with pauses.
  constexpr auto Windows = 11;
  constexpr auto Window = 5500.0;
  constexpr auto Pause = 1500.0;
  constexpr auto Interval = 25.0;
  auto number = 0U;
  auto left = 0U;
  for (auto n = 0; n < Windows; ++n) {
    for (auto at = 0.0; at < Window; at += Interval)
      site.Events.after(n * (Window + Pause) + at, [&] {
        auto const call = site.Clients->send(
            "POST", "/lm/" + std::to_string(number), 8000,
            promptFields(0x100000 + number * 1700, 1700), HasTrouble ? 300 : 0);
        left += HasTrouble ? 1 : 0;
        ++number;
      });
  }
  auto const highest =
      watchMemory(site, ordinary, now() + Windows * (Window + Pause));
  auto const lost = ordinary.lost();
  record("clients with long prompts: %u, of them left early %u; ordinary "
         "requests answered %zu, on kept channels passed on and not answered "
         "%zu; highest memory %.0f MB of %u",
         number, left, ordinary.answered(), lost, highest, site.Memory);
  return lost > 3;
}

/// Many requests at once whose prompts have many parts.
auto runCrowd(std::string const &Base, bool HasTrouble) -> bool {
  constexpr auto Crowd = 800U;
  auto site = Site(Base, 112);
  auto ordinary = KeptTraffic(site);
  auto lm = Servers(site.Events, site.Registry, "lm", site.addresses(60, 18),
                    64, [](std::size_t, Message const &It) {
                      return planStream(It, 4000, 10, 100);
                    });
  site.configure(KeptTraffic::routes() + "," + streamRoute());
  site.start();
  ordinary.start(site);
  site.Events.run(now() + 2000);
  // The same size in one field without parts.
  auto const plain = "Note: " + std::string(15500, 'a') + "\r\n";
  for (auto n = 0U; n < Crowd; ++n)
    site.Events.after(n * 4.0, [&, n] {
      site.Clients->send("POST", "/lm/" + std::to_string(n), 8000,
                         HasTrouble ? promptFields(0x100, 2700) : plain);
    });
  auto const highest = watchMemory(site, ordinary, now() + 12000);
  auto const lost = ordinary.lost();
  record("crowd: %zu requests, at their servers %zu; ordinary requests "
         "answered %zu, on kept channels passed on and not answered %zu; "
         "highest memory %.0f MB of %u",
         site.Clients->Calls.size(), lm.Received, ordinary.answered(), lost,
         highest, site.Memory);
  return lost > 3;
}

/// A booking whose body contains another request, and whose length cannot be
/// told: its transfer coding does not end with chunks.
auto runSmuggle(std::string const &Base, bool HasTrouble) -> bool {
  auto site = Site(Base, 182);
  auto bodies = std::map<std::string, std::size_t>{};
  auto app = Servers(
      site.Events, site.Registry, "app", site.addresses(40, 4), 6,
      [&](std::size_t Server, Message const &It) {
        auto const id = field(It.Header, "Attempt-Id");
        bodies[id] = It.Body.size();
        record("%8.0f ms: server %zu runs %s %s, id %s, %zu bytes of body",
               now(), Server, It.Method.c_str(), It.Target.c_str(), id.c_str(),
               It.Body.size());
        return planPlain(It, 15);
      });
  site.configure(KeptTraffic::routes());
  site.start();
  auto const codings =
      std::vector<std::string>{"gzip", "identity", "chunked, gzip"};
  auto isBroken = false;
  for (auto n = std::size_t{0}; n < codings.size(); ++n) {
    auto const number = std::to_string(n);
    auto const inner = "POST /plain/cancel HTTP/1.1\r\nHost: site.example\r\n"
                       "Attempt-Id: inside-" +
                       number +
                       "\r\nDeadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
    auto const framing =
        HasTrouble ? "Transfer-Encoding: " + codings[n]
                   : "Content-Length: " + std::to_string(inner.size());
    auto const channel = site.Events.connect(site.Process->front());
    channel->Out = "POST /plain/book HTTP/1.1\r\nHost: site.example\r\n"
                   "Attempt-Id: outside-" +
                   number + "\r\nDeadline-Ms: 3000\r\n" + framing + "\r\n\r\n" +
                   inner;
    record("%8.0f ms: a client sends one request, id outside-%zu, %s, "
           "%zu bytes of body that contain a request with id inside-%zu",
           now(), n, framing.c_str(), inner.size(), n);
    site.Events.run(now() + 1000);
    auto answers = 0;
    for (auto at = channel->In.find("HTTP/1.1 "); at != std::string::npos;
         at = channel->In.find("HTTP/1.1 ", at + 1))
      ++answers;
    auto const outside = bodies.find("outside-" + number);
    auto const isSmuggled = bodies.contains("inside-" + number);
    auto const isChanged =
        outside != bodies.end() && outside->second != inner.size();
    record("%8.0f ms: %d answers, the first '%s'; the request inside ran: %s; "
           "the request outside ran with another body: %s",
           now(), answers, channel->In.substr(0, 12).c_str(),
           isSmuggled ? "yes" : "no", isChanged ? "yes" : "no");
    isBroken = isBroken || isSmuggled || isChanged;
    site.Events.close(*channel);
  }
  return isBroken;
}

/// Three of twenty servers answer with bytes that are no events, without end.
auto runEndless(std::string const &Base, bool HasTrouble) -> bool {
  auto site = Site(Base, 112);
  auto ordinary = KeptTraffic(site);
  auto faulty = std::size_t{0};
  auto lm = Servers(
      site.Events, site.Registry, "lm", site.addresses(60, 20), 64,
      [&](std::size_t Server, Message const &It) {
        if (!HasTrouble || Server >= 3)
          return planStream(It, 300, 40, 100);
        ++faulty;
        auto parts = std::vector<Part>{
            {100, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                      seal(It) + "Transfer-Encoding: chunked\r\n\r\n"}};
        // At first 1 MB/s, then a little each second until its deadline.
        for (auto n = 1; n <= 10; ++n)
          parts.push_back({100.0 + 100 * n, chunk(std::string(104000, 'x'))});
        for (auto n = 2; n < 8; ++n)
          parts.push_back({1000.0 * n, chunk(std::string(1000, 'x'))});
        return parts;
      });
  site.configure(KeptTraffic::routes() + "," + streamRoute());
  site.start();
  ordinary.start(site);
  for (auto at = 0.0; at < 12000; at += 6)
    site.Events.after(at,
                      [&] { site.Clients->send("POST", "/lm/2f", 8000, ""); });
  auto const highest = watchMemory(site, ordinary, now() + 14000);
  auto const lost = ordinary.lost();
  record("streams: %zu, at their servers %zu, of them at the faulty ones %zu; "
         "ordinary requests answered %zu, on kept channels passed on and not "
         "answered %zu; highest memory %.0f MB of %u",
         site.Clients->Calls.size(), lm.Received, faulty, ordinary.answered(),
         lost, highest, site.Memory);
  return lost > 3;
}

auto const Cases = std::map<std::string, Case>{{"hang", runHang},
                                               {"evidence", runEvidence},
                                               {"crowd", runCrowd},
                                               {"smuggle", runSmuggle},
                                               {"endless", runEndless}};
