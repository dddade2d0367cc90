/*
 * suspect_fleet - simulates nodes with tables of suspects in virtual time
 *
 * Updates between nodes are delayed and some are lost. Callers send deadly
 * requests, which crash every server that runs them, and harmless ones to
 * random nodes. The runs that each crash broke off are recorded, to show why a
 * request was quarantined wrongly.
 */
#ifndef TESTS_CORE_SUSPECT_FLEET_H
#define TESTS_CORE_SUSPECT_FLEET_H

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/suspect_table.h"

inline const uint64_t STEP_US = US_PER_MS;
inline const uint64_t DEADLY = 1; /* deadly requests have the fingerprints from
				     here on */
inline const int REGIONS = 3;
inline const int DOMAINS = 3;
inline const int NEAR_PEERS = 12;
inline const int FAR_PEERS = 3;
inline const uint64_t NEAR_US = US_PER_MS;
inline const uint64_t FAR_US = 55 * US_PER_MS;
inline const double LOSS = 0.01;
inline const uint64_t DRAIN_US = 4 * US_PER_S; /* for the runs at the end to be
						  answered */

struct fleet_case {
	std::string name;
	int nodes;
	int servers;
	int deadly; /* number of requests that crash servers */
	double deadly_per_s; /* of each deadly request */
	bool bunched; /* at random times, not evenly */
	double harmless_per_s; /* per server */
	double crashes_per_s; /* of servers, without a request as cause */
	bool power; /* a third of the servers crash at once, three times */
	bool kill_all; /* all nodes die at 5 s; the stored quarantines remain */
	bool partition; /* a region is partitioned from 1 to 6 s */
	int max_crashes; /* by each deadly request */
	int max_late_runs; /* of a request, more than 1 s after its third crash
			    */
	int isolated; /* nodes that hear no other node for the first 8 s */
};

class Fleet
{
      public:
	Fleet(const fleet_case &c, unsigned seed) : case_(c), random_(seed)
	{
		for (int i = 0; i < c.nodes; i++)
			add_node();
		for (int i = 0; i < c.servers; i++) {
			servers_.push_back({});
			servers_.back().number = i;
			start(servers_.back());
		}
		stats.resize((size_t)c.deadly);
	}
	void run_until(uint64_t until_us)
	{
		while (now_us < until_us + DRAIN_US) {
			now_us += STEP_US;
			restart();
			ending_ = now_us >= until_us;
			if (case_.kill_all && now_us == START_US + 5 * US_PER_S)
				kill_all();
			if (!ending_) {
				arrive();
				crash_without_cause();
				lose_power();
			}
			end_runs();
			retry();
			deliver();
			send_updates();
		}
	}
	uint64_t quarantined_falsely()
	{
		uint64_t count = 0;

		for (const auto &node : nodes_)
			for (uint32_t i = 0; i < SUSPECT_MAX_ENTRIES; i++)
				count += is_falsely_quarantined(*node, i);
		return count;
	}
	/* Crashes of requests that were handled wrongly, one line each. */
	std::string wrong_history() const
	{
		std::set<uint64_t> wrong;
		std::string text;

		for (const auto &node : nodes_)
			for (uint32_t i = 0; i < SUSPECT_MAX_ENTRIES; i++)
				if (is_falsely_quarantined(*node, i))
					wrong.insert(node->table->keys[i]);
		for (size_t i = 0; i < stats.size(); i++)
			if (stats[i].crashes > case_.max_crashes ||
			    stats[i].late > case_.max_late_runs)
				wrong.insert(DEADLY + i);
		for (const Crash &crash : history_)
			if (crash.concerns(wrong))
				text += crash.line() + "\n";
		return text;
	}

	struct Stats {
		int crashes = 0;
		int late = 0; /* more than 1 s after its third crash */
		uint64_t third_us = 0;
	};
	static const uint64_t START_US = 1000 * US_PER_S;
	uint64_t now_us = START_US;
	std::vector<Stats> stats;
	int shared = 0; /* harmless requests whose server crashed */
	int shared_answered = 0;
	std::vector<uint64_t> served_after_us; /* time from their first crash */

      private:
	struct Update {
		size_t to;
		uint32_t from;
		struct suspect_update update;
	};
	struct Node {
		struct suspect_table *table = suspect_table_new();
		int region;
		uint64_t broadcast_at_us = 0; /* time of the next broadcast; 0:
						 none */
		uint64_t heartbeat_us;
		uint64_t ready_us = 0; /* refuses all requests before */
		~Node()
		{
			suspect_table_free(table);
		}
	};
	struct Run {
		uint64_t fingerprint;
		size_t node;
		uint64_t began_us;
		uint64_t end_us;
		int sends;
		bool shared;
		bool noted;
		bool claimed;
		uint64_t broke_us; /* first crash; 0: none */
	};
	struct Crash {
		uint64_t at_us;
		uint32_t life;
		uint64_t culprit; /* deadly request that caused it; 0: none */
		std::vector<Run> runs; /* broken off by the crash */

		bool concerns(const std::set<uint64_t> &fingerprints) const
		{
			return std::any_of(runs.begin(), runs.end(),
					   [&](const Run &run) {
						   return fingerprints.count(
							   run.fingerprint);
					   });
		}
		std::string line() const
		{
			std::string text =
				std::to_string((at_us - START_US) / US_PER_MS) +
				" ms, incarnation " + std::to_string(life) +
				", culprit " + std::to_string(culprit) + ":";

			for (const Run &run : runs)
				text += " " + std::to_string(run.fingerprint) +
					" (node " + std::to_string(run.node) +
					", send " + std::to_string(run.sends) +
					", ran " +
					std::to_string((at_us - run.began_us) /
						       US_PER_MS) +
					" ms" +
					(run.noted ? ", as suspect)" : ")");
			return text;
		}
	};
	struct Retry {
		uint64_t at_us;
		Run run;
	};
	struct Server {
		int number;
		std::string id;
		uint32_t life;
		uint64_t back_us = 0; /* down until then */
		std::vector<Run> runs;
	};

	void add_node()
	{
		nodes_.push_back(std::make_unique<Node>());
		nodes_.back()->region = (int)nodes_.size() % REGIONS;
		nodes_.back()->heartbeat_us =
			now_us + (uint64_t)below(400) * US_PER_MS;
	}
	/*
	 * Starts the server's next incarnation; a power failure hits one
	 * domain.
	 */
	void start(Server &server)
	{
		std::string domain =
			"d" + std::to_string(server.number % DOMAINS);
		struct backend_info facts = {};

		server.id = "i-" + std::to_string(next_incarnation_++);
		facts.id = server.id.c_str();
		facts.service = "s";
		facts.domain = domain.c_str();
		facts.region = "r";
		facts.slots = 1;
		server.life = backend_table_put(backends_.get(), &facts, now_us)
				      ->incarnation;
	}
	void restart()
	{
		backend_table_expire(backends_.get(), now_us);
		for (Server &server : servers_)
			if (!server.life && server.back_us <= now_us)
				start(server);
	}
	int below(int limit)
	{
		return std::uniform_int_distribution<int>(0,
							  limit - 1)(random_);
	}
	bool happens(double per_s)
	{
		double part = per_s * (double)STEP_US / (double)US_PER_S;

		return std::uniform_real_distribution<>(0, 1)(random_) < part;
	}
	bool arrives_now(int deadly)
	{
		uint64_t gap_us = (uint64_t)(1e6 / case_.deadly_per_s);
		uint64_t phase_us = (uint64_t)deadly * 71 * US_PER_MS;

		if (case_.bunched)
			return happens(case_.deadly_per_s);
		return (now_us + phase_us) % gap_us < STEP_US;
	}
	bool is_deadly(uint64_t fingerprint) const
	{
		return fingerprint < DEADLY + (uint64_t)case_.deadly;
	}
	bool is_falsely_quarantined(const Node &node, uint32_t at) const
	{
		return node.table->entries[at].rounds &&
		       !is_deadly(node.table->keys[at]);
	}
	bool is_partitioned(int region) const
	{
		return case_.partition && region == 0 &&
		       now_us >= START_US + US_PER_S &&
		       now_us < START_US + 6 * US_PER_S;
	}

	bool is_isolated(size_t node) const
	{
		return node < (size_t)case_.isolated &&
		       now_us < START_US + 8 * US_PER_S;
	}

	/* --- requests --------------------------------------------------- */

	void arrive()
	{
		for (int i = 0; i < case_.deadly; i++)
			if (arrives_now(i))
				send({ DEADLY + (uint64_t)i,
				       (size_t)below(case_.nodes), 0, 0, 0,
				       false, false, false, 0 });
		for (size_t i = 0; i < servers_.size(); i++)
			if (happens(case_.harmless_per_s))
				send({ next_fingerprint_++,
				       (size_t)below(case_.nodes), 0, 0, 0,
				       false, false, false, 0 });
	}
	/* Chooses a server as the product does for suspects. */
	Server *pick(const Node &node, const struct suspect_decision &decision)
	{
		bool is_suspect = decision.verdict == SUSPECT_MAY_RUN;

		for (int i = 0; i < 200; i++) {
			Server &server =
				servers_[(size_t)below((int)servers_.size())];

			if (server.back_us > now_us)
				continue;
			if (!suspect_runs_on(node.table, server.life,
					     !is_suspect, now_us) ||
			    (i > 100 && !decision.isolated))
				return &server;
		}
		return nullptr;
	}
	void send(Run run)
	{
		Node &node = *nodes_[run.node];
		struct suspect_decision decision;

		if (node.ready_us > now_us)
			return;
		const struct suspect_query query = { run.fingerprint,
						     (uint32_t)run.node, false,
						     run.claimed };
		suspect_decide(node.table, &query, backends_.get(), now_us,
			       &decision);
		run.claimed = false;
		if (decision.verdict == SUSPECT_RUNNING)
			retries_.push_back({ now_us + 20 * US_PER_MS, run });
		if (decision.verdict == SUSPECT_RUNNING ||
		    decision.verdict == SUSPECT_QUARANTINED)
			return;
		if (decision.wait_us) {
			retries_.push_back({ now_us + decision.wait_us, run });
			return;
		}
		if (decision.needs_claim) {
			suspect_claim(node.table, run.fingerprint,
				      (uint32_t)run.node, now_us);
			schedule_broadcast(node);
			run.claimed = true;
			retries_.push_back(
				{ now_us + SUSPECT_CLAIM_WAIT_US, run });
			return;
		}
		Server *server = pick(node, decision);
		if (!server)
			return;
		run.sends++;
		run.began_us = now_us;
		run.end_us = now_us + (is_deadly(run.fingerprint) ?
					       30 + (uint64_t)below(140) :
					       500 + (uint64_t)below(500)) *
					      US_PER_MS;
		run.noted = decision.verdict == SUSPECT_MAY_RUN;
		if (run.noted) {
			const struct suspect_run noted = {
				run.fingerprint, (uint32_t)run.node,
				server->life, run.end_us + US_PER_S,
				decision.isolated
			};
			suspect_begin_run(node.table, &noted);
			schedule_broadcast(node);
		}
		note_late(run);
		server->runs.push_back(run);
	}
	void note_late(const Run &run)
	{
		if (!is_deadly(run.fingerprint))
			return;
		Stats &stat = stats[run.fingerprint - DEADLY];

		stat.late += stat.third_us && now_us > stat.third_us + US_PER_S;
	}
	void end_noted(const Run &run)
	{
		Node &node = *nodes_[run.node];

		if (!run.noted)
			return;
		suspect_end_run(node.table, run.fingerprint,
				(uint32_t)run.node);
		schedule_broadcast(node);
	}
	void end_runs()
	{
		for (Server &server : servers_) {
			for (size_t i = server.runs.size(); i > 0; i--) {
				const Run run = server.runs[i - 1];

				if (run.end_us > now_us)
					continue;
				if (is_deadly(run.fingerprint)) {
					crash(server, &run);
					break;
				}
				answer(run);
				server.runs.erase(server.runs.begin() +
						  (long)i - 1);
			}
		}
	}
	void answer(const Run &run)
	{
		shared_answered += run.shared;
		if (run.shared)
			served_after_us.push_back(now_us - run.broke_us);
		suspect_clear(nodes_[run.node]->table, run.fingerprint, now_us);
		end_noted(run);
	}
	void crash(Server &server, const Run *deadly)
	{
		std::vector<Run> runs;

		std::swap(runs, server.runs);
		history_.push_back({ now_us, server.life,
				     deadly ? deadly->fingerprint : 0, runs });
		server.back_us = now_us + 3 * US_PER_S;
		if (deadly) {
			Stats &stat = stats[deadly->fingerprint - DEADLY];

			if (++stat.crashes == 3)
				stat.third_us = now_us;
		}
		for (Run &run : runs)
			break_off(server, run);
		backend_table_remove(backends_.get(), server.id.c_str(), {},
				     server.back_us, now_us);
		server.life = 0;
	}
	void break_off(const Server &server, Run run)
	{
		Node &node = *nodes_[run.node];
		const struct suspect_crash crash = { server.life, 0, now_us,
						     now_us - run.began_us };

		if (suspect_add_own_crash(node.table, run.fingerprint,
					  backends_.get(), &crash, ""))
			schedule_broadcast(node);
		end_noted(run);
		store_quarantine(node, run.fingerprint);
		if (!is_deadly(run.fingerprint) && !run.shared)
			shared++;
		if (!run.shared)
			run.broke_us = now_us;
		run.shared = true;
		if (run.sends < 3)
			retries_.push_back({ now_us + 4 * US_PER_MS, run });
	}
	void retry()
	{
		std::vector<Retry> due;

		for (size_t i = retries_.size(); i > 0; i--) {
			if (retries_[i - 1].at_us > now_us)
				continue;
			due.push_back(retries_[i - 1]);
			retries_.erase(retries_.begin() + (long)i - 1);
		}
		for (const Retry &one : due)
			send(one.run);
	}
	void lose_power()
	{
		if (!case_.power || (now_us - START_US) % (3 * US_PER_S))
			return;
		for (size_t i = 0; i < servers_.size(); i += DOMAINS)
			if (servers_[i].back_us <= now_us)
				crash(servers_[i], nullptr);
	}
	void crash_without_cause()
	{
		if (!happens(case_.crashes_per_s))
			return;
		Server &server = servers_[(size_t)below((int)servers_.size())];

		if (server.back_us <= now_us)
			crash(server, nullptr);
	}

	/* --- updates ---------------------------------------------------- */

	void schedule_broadcast(Node &node)
	{
		if (!node.broadcast_at_us)
			node.broadcast_at_us = now_us + 5 * US_PER_MS;
	}
	void post(size_t from, size_t to, const struct suspect_update &update)
	{
		bool far = nodes_[from]->region != nodes_[to]->region;

		if (std::uniform_real_distribution<>(0, 1)(random_) < LOSS)
			return;
		if (is_isolated(from) || is_isolated(to))
			return;
		if (far && (is_partitioned(nodes_[from]->region) ||
			    is_partitioned(nodes_[to]->region)))
			return;
		posted_.insert({ now_us + (far ? FAR_US : NEAR_US),
				 { to, (uint32_t)from, update } });
	}
	void send_updates()
	{
		for (size_t i = 0; i < nodes_.size(); i++) {
			Node &node = *nodes_[i];

			if (node.broadcast_at_us &&
			    node.broadcast_at_us <= now_us)
				broadcast(i);
			if (node.heartbeat_us <= now_us)
				send_heartbeat(i);
		}
	}
	void broadcast(size_t from)
	{
		Node &node = *nodes_[from];
		struct suspect_update updates[10];
		uint32_t count = suspect_collect_broadcast(
			node.table, (uint32_t)from, now_us, updates, 10);

		for (size_t to = 0; to < nodes_.size(); to++)
			for (uint32_t i = 0; to != from && i < count; i++)
				post(from, to, updates[i]);
		node.broadcast_at_us = suspect_has_broadcast(node.table) ?
					       now_us + 40 * US_PER_MS :
					       0;
	}
	void send_heartbeat(size_t from)
	{
		Node &node = *nodes_[from];
		struct suspect_update updates[4];
		uint32_t count = suspect_collect_updates(
			node.table, (uint32_t)from, now_us, updates, 4);

		node.heartbeat_us = now_us + 400 * US_PER_MS;
		drop_rows(node);
		if (node.ready_us > now_us)
			update_starting_node(from);
		for (int i = 0; count && i < NEAR_PEERS + 2 * FAR_PEERS; i++) {
			size_t to = (size_t)below((int)nodes_.size());

			for (uint32_t j = 0; to != from && j < count; j++)
				post(from, to, updates[j]);
		}
	}
	void deliver()
	{
		for (auto at = posted_.begin();
		     at != posted_.end() && at->first <= now_us;
		     at = posted_.erase(at)) {
			const Update &update = at->second;

			EXPECT_TRUE(suspect_apply_update(
				nodes_[update.to]->table, &update.update,
				update.from, backends_.get(), now_us));
			store_quarantine(*nodes_[update.to],
					 update.update.fingerprint);
		}
	}

	/* --- stored quarantines ----------------------------------------- */

	void store_quarantine(const Node &node, uint64_t fingerprint)
	{
		const struct suspect *suspect =
			suspect_table_find(node.table, fingerprint);

		if (suspect && suspect->rounds && suspect->seen_locally)
			stored_.insert(fingerprint);
	}
	/* The stored row of a request goes when its quarantine is lifted. */
	void drop_rows(const Node &node)
	{
		for (auto at = stored_.begin(); at != stored_.end();) {
			const struct suspect *suspect =
				suspect_table_find(node.table, *at);

			if (suspect && !suspect->rounds &&
			    suspect->seen_locally)
				at = stored_.erase(at);
			else
				at++;
		}
	}
	bool is_reader(size_t node) const
	{
		return node < 2 * REGIONS;
	}
	/*
	 * All nodes restart after a second. The first two of each region read
	 * the stored quarantines; the others are ready after updates from
	 * these.
	 */
	void kill_all()
	{
		for (Server &server : servers_)
			server.runs.clear();
		retries_.clear();
		posted_.clear();
		for (size_t i = 0; i < nodes_.size(); i++) {
			Node &node = *nodes_[i];

			suspect_table_free(node.table);
			node.table = suspect_table_new();
			node.heartbeat_us = now_us + US_PER_S +
					    (uint64_t)below(400) * US_PER_MS;
			node.ready_us = now_us + US_PER_S +
					(is_reader(i) ? 300 : 700) * US_PER_MS;
			for (uint64_t fingerprint : stored_)
				if (is_reader(i))
					suspect_quarantine(node.table,
							   fingerprint, now_us);
		}
	}
	/* As a reader answers a heartbeat of a node that isn't ready. */
	void update_starting_node(size_t to)
	{
		struct suspect_update updates[10];

		for (size_t from = 0; is_reader(from); from++) {
			uint32_t count = suspect_collect_updates(
				nodes_[from]->table, (uint32_t)from, now_us,
				updates, 10);

			for (uint32_t i = 0; from != to && i < count; i++)
				post(from, to, updates[i]);
		}
	}

	struct FreeTable {
		void operator()(struct backend_table *table) const
		{
			backend_table_free(table);
		}
	};
	fleet_case case_;
	std::mt19937 random_;
	std::unique_ptr<struct backend_table, FreeTable> backends_{
		backend_table_new()
	};
	std::vector<std::unique_ptr<Node>> nodes_;
	std::vector<Server> servers_;
	std::vector<Retry> retries_;
	std::multimap<uint64_t, Update> posted_; /* by time of arrival */
	std::vector<Crash> history_;
	std::set<uint64_t> stored_;
	bool ending_ = false;
	uint32_t next_incarnation_ = 1;
	uint64_t next_fingerprint_ = 1000;
};

#endif
