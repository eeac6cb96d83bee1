//! Latency histograms of a load, and their table.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::client::StreamResult;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Results of a load. Histograms are in microseconds.
#[derive(Clone, Debug)]
pub struct Report {
    /// Duration of the measurement, in seconds.
    pub seconds: f64,
    sent: u64,
    whole: u64,
    refused: u64,
    broken: u64,
    first_token: Histogram<u64>,
    first_on_the_way: Histogram<u64>,
    on_the_way: Histogram<u64>,
    intervals: Histogram<u64>,
}

impl Default for Report {
    fn default() -> Self {
        // `Histogram::new` accepts up to five significant digits.
        let new = || Histogram::new(DIGITS).expect("three digits are valid");
        Self {
            seconds: 0.0,
            sent: 0,
            whole: 0,
            refused: 0,
            broken: 0,
            first_token: new(),
            first_on_the_way: new(),
            on_the_way: new(),
            intervals: new(),
        }
    }
}

fn record(histogram: &mut Histogram<u64>, value: Duration) {
    // The histogram resizes automatically and accepts every value.
    let _ = histogram.record(value.as_micros() as u64);
}

impl Report {
    /// Adds the result of one request.
    pub fn record(&mut self, result: &StreamResult) {
        self.sent += 1;
        match (result.is_whole, result.status) {
            (true, _) => self.whole += 1,
            (false, 200) | (false, 0) => self.broken += 1,
            (false, _) => self.refused += 1,
        }
        if let Some(first) = result.first_token {
            record(&mut self.first_token, first);
        }
        let (first, others) = match result.on_the_way.split_first() {
            Some((first, others)) => (Some(first), others),
            None => (None, &[][..]),
        };
        if let Some(first) = first {
            record(&mut self.first_on_the_way, *first);
        }
        for value in others {
            record(&mut self.on_the_way, *value);
        }
        for value in &result.intervals {
            record(&mut self.intervals, *value);
        }
    }

    /// Formats the report as a text table.
    pub fn table(&self) -> String {
        let mut table = format!(
            "sent {} completed {} refused {} incomplete {} in {} s\n",
            self.sent, self.whole, self.refused, self.broken, self.seconds
        );
        table.push_str("milliseconds              p50       p95       p99       max\n");
        for (name, histogram) in [
            ("first token", &self.first_token),
            ("first token in transit", &self.first_on_the_way),
            ("other tokens in transit", &self.on_the_way),
            ("between tokens", &self.intervals),
        ] {
            let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
            let max = histogram.max() as f64 / 1000.0;
            table.push_str(&format!(
                "{name:<24}{:>8.3}  {:>8.3}  {:>8.3}  {:>8.3}\n",
                at(0.50),
                at(0.95),
                at(0.99),
                max
            ));
        }
        table
    }
}
