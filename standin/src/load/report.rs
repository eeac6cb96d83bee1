//! Latency histograms of a load, and their table.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::client::StreamResult;

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Results of a load. Histograms are in microseconds.
#[derive(Clone, Debug)]
pub struct Report {
    /// Duration of the measurement, in seconds.
    pub seconds: f64,
    /// Number of requests sent.
    sent: u64,
    /// Responses received up to the `[DONE]` event.
    completed: u64,
    /// Responses with another status than 200.
    refused: u64,
    /// Requests without a response, and streams that ended without the `[DONE]` event.
    incomplete: u64,
    first_token: Histogram<u64>,
    first_token_transit: Histogram<u64>,
    other_token_transit: Histogram<u64>,
    token_intervals: Histogram<u64>,
}

impl Default for Report {
    fn default() -> Self {
        // `Histogram::new` accepts up to five significant digits.
        let new_histogram = || Histogram::new(SIGNIFICANT_DIGITS).expect("three digits are valid");
        Self {
            seconds: 0.0,
            sent: 0,
            completed: 0,
            refused: 0,
            incomplete: 0,
            first_token: new_histogram(),
            first_token_transit: new_histogram(),
            other_token_transit: new_histogram(),
            token_intervals: new_histogram(),
        }
    }
}

fn record_duration(histogram: &mut Histogram<u64>, value: Duration) {
    // The histogram resizes automatically and accepts every value.
    let _ = histogram.record(value.as_micros() as u64);
}

impl Report {
    /// Adds the result of one request.
    pub fn record(&mut self, result: &StreamResult) {
        self.sent += 1;
        match (result.is_complete, result.status) {
            (true, _) => self.completed += 1,
            (false, 200) | (false, 0) => self.incomplete += 1,
            (false, _) => self.refused += 1,
        }
        if let Some(first) = result.first_token {
            record_duration(&mut self.first_token, first);
        }
        let (first, others) = match result.transit_times.split_first() {
            Some((first, others)) => (Some(first), others),
            None => (None, &[][..]),
        };
        if let Some(first) = first {
            record_duration(&mut self.first_token_transit, *first);
        }
        for value in others {
            record_duration(&mut self.other_token_transit, *value);
        }
        for value in &result.token_intervals {
            record_duration(&mut self.token_intervals, *value);
        }
    }

    /// Formats the report as a text table.
    pub fn table(&self) -> String {
        let mut table = format!(
            "sent {} completed {} refused {} incomplete {} in {} s\n",
            self.sent, self.completed, self.refused, self.incomplete, self.seconds
        );
        table.push_str("milliseconds              p50       p95       p99       max\n");
        for (name, histogram) in [
            ("first token", &self.first_token),
            ("first token in transit", &self.first_token_transit),
            ("other tokens in transit", &self.other_token_transit),
            ("between tokens", &self.token_intervals),
        ] {
            let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
            let max = histogram.max() as f64 / 1000.0;
            table.push_str(&format!(
                "{name:<24}{:>8.3}  {:>8.3}  {:>8.3}  {:>8.3}\n",
                quantile_ms(0.50),
                quantile_ms(0.95),
                quantile_ms(0.99),
                max
            ));
        }
        table
    }
}
